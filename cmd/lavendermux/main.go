// Command lavendermux runs the rollout service (the entry instances and the sidecars of
// the endpoints) and is the command line of its operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lavendermux/lavendermux/sighup"
)

// commands are the subcommands; each is in its own file.
type commands struct {
	globals

	Get       getCommand        `cmd:"" group:"Resources" help:"Show resources."`
	Apply     applyCommand      `cmd:"" group:"Resources" help:"Create or replace resources from a file."`
	Delete    deleteCommand     `cmd:"" group:"Resources" help:"Delete a resource."`
	Watch     watchCommand      `cmd:"" group:"Resources" help:"Print changes of resources as an entry receives them."`
	Status    statusCommand     `cmd:"" group:"Resources" help:"Show on which instances a resource is in force, and its conditions."`
	Explain   explainCommand    `cmd:"" group:"Resources" help:"Show the automatic actions on a resource, and their reasons."`
	Report    reportCommand     `cmd:"" group:"Resources" help:"Report on the objectives of policies, on load, and on trainers' steps."`
	Entry     entryCommand      `cmd:"" group:"Programs" help:"Run an entry instance."`
	Side      sidecarCommand    `cmd:"" group:"Programs" help:"Run the sidecar of an endpoint."`
	Node      nodeCommand       `cmd:"" group:"Programs" help:"Run a process of a deployment with the settings of its machine."`
	Instances instancesCommand  `cmd:"" group:"Programs" help:"Show the state of a deployment as each process sees it, and where they differ."`
	Held      quarantineCommand `cmd:"" group:"Programs" help:"List the poison requests, under which endpoints crashed, or end a quarantine."`
	Trace     traceCommand      `cmd:"" group:"Programs" help:"Print the log lines of several processes about one request, item or batch."`
	Copies    replicasCommand   `cmd:"" group:"Programs" help:"Inspect the replicas of results on a data instance's disk."`
	Settings  settingsCommand   `cmd:"" group:"Programs" help:"Check settings files and create tokens."`
	Version   versionCommand    `cmd:"" group:"Programs" help:"Print the version."`
}

func main() {
	hangups := sighup.Catch(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	s := &session{ctx: ctx, hangups: hangups, in: os.Stdin, out: os.Stdout, errOut: os.Stderr}
	code := run(s, os.Args[1:])
	stop()
	os.Exit(code)
}

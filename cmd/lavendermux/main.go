// Command lavendermux is the rollout service: the entry instances, the
// processes beside the endpoints, and the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// commands are the subcommands; each stands in a file of its own.
type commands struct {
	globals

	Get       getCommand       `cmd:"" group:"Resources" help:"Show resources."`
	Apply     applyCommand     `cmd:"" group:"Resources" help:"Create or replace resources from a file."`
	Delete    deleteCommand    `cmd:"" group:"Resources" help:"Delete a resource."`
	Watch     watchCommand     `cmd:"" group:"Resources" help:"Print changes of resources as an entry learns of them."`
	Status    statusCommand    `cmd:"" group:"Resources" help:"Show where a resource is in force and what stands against it."`
	Explain   explainCommand   `cmd:"" group:"Resources" help:"Show what the system did about a resource by itself, and why."`
	Report    reportCommand    `cmd:"" group:"Resources" help:"Report on the objectives of policies, and on trainers' steps."`
	Entry     entryCommand     `cmd:"" group:"Programs" help:"Run an entry instance."`
	Side      sideCommand      `cmd:"" group:"Programs" help:"Run the process beside an endpoint."`
	Node      nodeCommand      `cmd:"" group:"Programs" help:"Run a process of a deployment, with the settings of the machine it is on."`
	Instances instancesCommand `cmd:"" group:"Programs" help:"Show what the processes of a deployment believe, and where they differ."`
	Held      heldCommand      `cmd:"" group:"Programs" help:"List the requests under which endpoints ended, or let one through again."`
	Trace     traceCommand     `cmd:"" group:"Programs" help:"Print the story of one request, item or batch from the logs of several processes."`
	Copies    copiesCommand    `cmd:"" group:"Programs" help:"Look at the copies of results on a data instance's disk."`
	Settings  settingsCommand  `cmd:"" group:"Programs" help:"Look at settings files."`
	Version   versionCommand   `cmd:"" group:"Programs" help:"Print the version."`
}

func main() {
	hangups := catchHangups(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	s := &session{ctx: ctx, hangups: hangups, in: os.Stdin, out: os.Stdout, errOut: os.Stderr}
	code := run(s, os.Args[1:])
	stop()
	os.Exit(code)
}

// catchHangups keeps SIGHUP from ending a process that is just starting: an operator
// who has all processes read their settings again may meet one in its first
// milliseconds, and it would be gone. The operators' commands still end with their
// terminal.
func catchHangups(args []string) chan os.Signal {
	if len(args) == 0 || args[0] != "node" {
		return nil
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

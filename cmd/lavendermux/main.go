// Command lavendermux is the rollout service: the entry instances, the
// processes beside the endpoints, and the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli is the command line; each subcommand stands in a file of its own.
type cli struct {
	Entry entryCommand `cmd:"" help:"Run an entry instance."`
	Side  sideCommand  `cmd:"" help:"Run the process beside an endpoint."`
}

func main() {
	var c cli
	parser := kong.Parse(&c, kong.Name("lavendermux"),
		kong.Description("Rollouts for trainers and answers for live callers, from the same engines."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run())
}

// Command measure runs the policies under simulated and real load and prints what
// callers and trainers get, as Markdown tables.
package main

import (
	"github.com/alecthomas/kong"
)

// cli is the command line; each subcommand is in a file of its own.
type cli struct {
	Load     loadCommand     `cmd:"" help:"Measure the decisions about live and mixed work."`
	Rollouts rolloutsCommand `cmd:"" help:"Measure the decisions about rollouts."`
	Path     pathCommand     `cmd:"" help:"Measure what the path adds to a direct call. See scripts/path.sh."`
	Making   makingCommand   `cmd:"" help:"Measure what the holder of a pool takes for its samples. See scripts/making.sh."`
	Scaling  scalingCommand  `cmd:"" help:"Measure the decision how many endpoints a service should have."`
	Ways     waysCommand     `cmd:"" help:"Compare ways of deciding: the same days and seeds, played by several builds, in pairs."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Description("Plays load against the decisions and prints tables."))
	ctx.FatalIfErrorf(ctx.Run())
}

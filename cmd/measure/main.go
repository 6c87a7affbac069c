// Command measure plays load to the decisions and prints what callers and
// trainers get.
package main

import "github.com/alecthomas/kong"

var cli struct {
	Rollouts rolloutsCommand `cmd:"" help:"Plays rollouts to the decisions about them."`
}

func main() {
	ctx := kong.Parse(&cli)
	ctx.FatalIfErrorf(ctx.Run())
}

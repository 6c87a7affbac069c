package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lavendermux/lavendermux/bytesz"
	"github.com/lavendermux/lavendermux/platform/sims/simcli"
	"github.com/lavendermux/lavendermux/sleep"
)

// crowdCommand has a route without a key of the stand-in site for its defaults.
type crowdCommand struct {
	Addr    string        `required:"" help:"Address to send to."`
	Clients int           `default:"100" help:"Number of clients."`
	Seed    uint64        `default:"1" help:"Random seed of what they send."`
	Host    string        `default:"desk.example" help:"Host of the requests."`
	Path    string        `default:"/once/" help:"Path of the requests."`
	Heads   bytesz.Size   `default:"16KB" help:"Size that a head may have."`
	Bodies  bytesz.Size   `default:"1MB" help:"Size that a body may have."`
	Hold    time.Duration `default:"10s" help:"How long connections are left open."`
}

// Run sends a crowd of clients that don't keep to the limits.
func (c *crowdCommand) Run(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	clients := make([]simcli.Client, c.Clients)
	for i := range clients {
		clients[i] = simcli.Draw(rng, http.MethodPost, c.Host, c.Path, int(c.Heads), int(c.Bodies))
	}
	crowd := simcli.Open(ctx, c.Addr, clients)
	defer crowd.Close()
	sleep.For(ctx, c.Hold)
	fmt.Printf("%d of %d connections are open after %s\n", crowd.Open(), c.Clients, c.Hold)
	return nil
}

// Command standin runs simulated platform services and clients, for demonstrations
// and tests with real processes.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	headerTimeout = 10 * time.Second
)

type commands struct {
	KV        kvCommand        `cmd:"" name:"kv" help:"Key-value service."`
	Engine    engineCommand    `cmd:"" help:"Model engine."`
	Weights   weightsCommand   `cmd:"" help:"Weight store."`
	Instances instancesCommand `cmd:"" help:"Instance list."`
	Service   serviceCommand   `cmd:"" help:"Plain service with bookings and case status."`
	Scorer    scorerCommand    `cmd:"" help:"Scorer of samples."`
	Trainer   trainerCommand   `cmd:"" help:"Trainer: a client of lavendermux."`
	Caller    callerCommand    `cmd:"" help:"Load generator of live requests to lavendermux."`
	Register  registerCommand  `cmd:"" help:"Add instances to the instance list."`
	Site      siteCommand      `cmd:"" help:"Simulated deployment of the users' platform, with a trainer and callers that verify responses."`
	Soak      soakCommand      `cmd:"" help:"Soak test with real processes and seeded fault injection; prints violated guarantees."`
	Crowd     crowdCommand     `cmd:"" help:"Clients that don't keep to the limits, drawn by seed, whose connections stay open."`
	Await     awaitCommand     `cmd:"" help:"Wait until entries are ready."`
}

func main() {
	var cli commands
	parser := kong.Parse(&cli, kong.Name("standin"), kong.Description("Stand-ins for the platform."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run())
}

// serve serves h at addr until ctx ends. It then closes connections immediately,
// because the platform doesn't guarantee a graceful shutdown.
func serve(ctx context.Context, name, addr string, h http.Handler) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listening for %s", name)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	log.Info("serving", "standin", name, "address", ln.Addr().String())
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serving %s", name)
	}
	return nil
}

package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/node"
	"github.com/lavendermux/lavendermux/platform/conf"
	"github.com/lavendermux/lavendermux/platform/world"
	"github.com/lavendermux/lavendermux/setup"
	"github.com/lavendermux/lavendermux/spool"
)

// gcPercent is how much the heap may grow between two collections, as a share of what is
// in use after the first. Texts, requests and their encodings live for less than a second,
// so that most of an entry's memory at its peak is garbage at the usual 100.
const gcPercent = 40

// memoryShare of what the process may use is the collector's target: the rest is
// for stacks, buffers of the kernel and the time until a collection has ended.
const memoryShare = 0.6

type nodeCommand struct {
	LogLevel string `default:"info" help:"Least level that is logged."`
}

// Run serves until a signal, and then drains.
func (c *nodeCommand) Run(ctx context.Context, s *session) error {
	cfg, err := conf.Load()
	if err != nil {
		return errors.Wrap(err, "node")
	}
	debug.SetGCPercent(gcPercent)
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Memory)))
	}
	logger := logs.New(spool.New(os.Stdout), logs.WithLevel(c.LogLevel), logs.WithField(logs.FieldInstance, cfg.Instance))
	go followSettings(ctx, s.hangups, cfg, logger)
	m := meter.New()
	return node.New(cfg, world.New(cfg, logger, world.WithMeter(m)), logger, node.WithMeter(m)).Run(ctx)
}

// followSettings looks at the settings file again at each SIGHUP. What a process
// uses of it is fixed for as long as it runs; a change of that is logged, so that
// an operator sees that a restart is due, and takes effect with it.
func followSettings(ctx context.Context, hangups <-chan os.Signal, old setup.Setup, logger *log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := conf.Load()
		if err != nil {
			logger.Error("Settings not reloaded.", "error", err)
			continue
		}
		logger.Info("Settings reloaded.", "changed", cfg != old, "needsRestart", cfg != old)
		old = cfg
	}
}

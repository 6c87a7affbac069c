package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/node"
	"github.com/lavendermux/lavendermux/platform/conf"
	"github.com/lavendermux/lavendermux/platform/world"
	"github.com/lavendermux/lavendermux/spool"
)

// memoryShare of what the process may use is the collector's target: the rest is
// for stacks, buffers of the kernel and the time until a collection has ended.
const memoryShare = 0.6

type nodeCommand struct {
	LogLevel string `default:"info" help:"Least level that is logged."`
}

// Run serves until a signal, and then drains.
func (c *nodeCommand) Run(ctx context.Context) error {
	cfg, err := conf.Load()
	if err != nil {
		return errors.Wrap(err, "node")
	}
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Memory)))
	}
	logger := logs.New(spool.New(os.Stdout), logs.WithLevel(c.LogLevel), logs.WithField(logs.FieldInstance, cfg.Instance))
	return node.New(cfg, world.New(cfg, logger), logger).Run(ctx)
}

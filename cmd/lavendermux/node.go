package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/node"
	"github.com/lavendermux/lavendermux/platform/conf"
	"github.com/lavendermux/lavendermux/platform/wiring"
	"github.com/lavendermux/lavendermux/spool"
)

// gcPercent is the heap growth that triggers a garbage collection, as in GOGC. Texts,
// requests and their encodings live for less than a second, so that at the default of
// 100 most of an entry's memory at its peak is garbage.
const gcPercent = 40

// memoryLimitShare is the share of the process's memory that is the soft limit of the
// Go runtime. The rest is for stacks, kernel buffers and allocations until a collection
// has ended.
const memoryLimitShare = 0.6

type nodeCommand struct {
	LogLevel string `default:"info" help:"Lowest level to log."`
}

// Run serves until a signal and then drains.
func (c *nodeCommand) Run(ctx context.Context, s *session) error {
	cfg, err := conf.Load()
	if err != nil {
		return errors.Wrap(err, "node")
	}
	debug.SetGCPercent(gcPercent)
	limitMemory(cfg.MemoryBytes)
	logger := logs.New(spool.New(os.Stdout), logs.WithLevel(c.LogLevel), logs.WithField(logs.FieldInstance, cfg.Instance))
	go followSettings(ctx, s.hangups, cfg, conf.Load, logger)
	m := meter.New()
	return node.New(cfg, wiring.New(cfg, logger, wiring.WithMeter(m)), logger, node.WithMeter(m)).Run(ctx)
}

// limitMemory sets the soft limit of the Go runtime for a process with the given memory, in bytes; 0 means
// unknown.
func limitMemory(n int64) {
	if n > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(n)))
	}
}

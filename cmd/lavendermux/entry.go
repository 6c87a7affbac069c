package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/ecfg"
	"github.com/lavendermux/lavendermux/entry"
	"github.com/lavendermux/lavendermux/logs"
)

type entryCommand struct {
	Settings string `required:"" type:"existingfile" help:"JSON file with the entry's settings."`
}

// Run serves until a signal, and then stops gracefully.
func (c *entryCommand) Run(ctx context.Context) error {
	raw, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "reading the settings")
	}
	cfg, err := ecfg.Parse(raw)
	if err != nil {
		return errors.Wrapf(err, "settings %s", c.Settings)
	}
	logger := logs.New(os.Stderr, logs.WithLevel(cfg.LogLevel), logs.WithFormat(cfg.LogFormat),
		logs.WithField(logs.FieldInstance, cfg.Instance))
	return entry.New(cfg, entry.WithLog(logger)).Run(ctx)
}

package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/netset"
	"github.com/lavendermux/lavendermux/scfg"
	"github.com/lavendermux/lavendermux/side"
)

type sidecarCommand struct {
	Settings string `required:"" type:"existingfile" help:"JSON file with the sidecar's settings."`
}

// Run serves until a signal and then drains.
func (c *sidecarCommand) Run(ctx context.Context, s *session) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	limitMemory(int64(cfg.Memory))
	logger := logs.New(os.Stderr, logs.WithLevel(cfg.LogLevel), logs.WithFormat(cfg.LogFormat),
		logs.WithField(logs.FieldInstance, cfg.Instance))
	go followSettings(ctx, s.hangups, cfg, c.load, logger)
	peerTLS, err := cfg.PeerTLS.TLSConfig()
	if err != nil {
		return errors.Wrap(err, "settings: peerTLS")
	}
	return side.New(cfg, side.WithLog(logger), side.WithNet(netset.New(netset.WithPeerTLS(peerTLS)))).Run(ctx)
}

func (c *sidecarCommand) load() (scfg.Settings, error) {
	raw, err := os.ReadFile(c.Settings)
	if err != nil {
		return scfg.Settings{}, errors.Wrap(err, "reading the settings")
	}
	cfg, err := scfg.Parse(raw)
	return cfg, errors.Wrapf(err, "settings %s", c.Settings)
}

package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/auth"
	"github.com/lavendermux/lavendermux/ecfg"
	"github.com/lavendermux/lavendermux/entry"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/netset"
)

type entryCommand struct {
	Settings string `required:"" type:"existingfile" help:"JSON file with the entry's settings."`
}

// Run serves until a signal and then shuts down gracefully.
func (c *entryCommand) Run(ctx context.Context, s *session) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	limitMemory(int64(cfg.Memory))
	logger := logs.New(os.Stderr, logs.WithLevel(cfg.LogLevel), logs.WithFormat(cfg.LogFormat),
		logs.WithField(logs.FieldInstance, cfg.Instance))
	go followSettings(ctx, s.hangups, cfg, c.load, logger)
	opts := []entry.Option{entry.WithLog(logger)}
	serverTLS, err := cfg.TLS.TLSConfig()
	if err != nil {
		return errors.Wrap(err, "settings: tls")
	}
	peerTLS, err := cfg.PeerTLS.TLSConfig()
	if err != nil {
		return errors.Wrap(err, "settings: peerTLS")
	}
	opts = append(opts, entry.WithTLS(serverTLS), entry.WithNet(netset.New(netset.WithPeerTLS(peerTLS))))
	if cfg.TokenFile != "" {
		keys, err := loadKeys(cfg.TokenFile)
		if err != nil {
			return err
		}
		opts = append(opts, entry.WithKeys(keys))
	}
	return entry.New(cfg, opts...).Run(ctx)
}

func (c *entryCommand) load() (ecfg.Settings, error) {
	raw, err := os.ReadFile(c.Settings)
	if err != nil {
		return ecfg.Settings{}, errors.Wrap(err, "reading the settings")
	}
	cfg, err := ecfg.Parse(raw)
	return cfg, errors.Wrapf(err, "settings %s", c.Settings)
}

func loadKeys(name string) (*auth.TokenSet, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "reading the token file")
	}
	keys, err := auth.Load(raw)
	return keys, errors.Wrapf(err, "token file %s", name)
}

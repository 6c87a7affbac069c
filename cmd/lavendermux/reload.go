package main

import (
	"context"
	"os"
	"reflect"

	"github.com/charmbracelet/log"
)

// followSettings reads the settings again at each SIGHUP and logs whether they have
// changed. A process uses the settings that it started with; the log line tells the
// operator that a restart is needed for a change to take effect.
func followSettings[T any](
	ctx context.Context, hangups <-chan os.Signal, old T, load func() (T, error), logger *log.Logger,
) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := load()
		if err != nil {
			logger.Error("Settings not reloaded.", "error", err)
			continue
		}
		changed := !reflect.DeepEqual(cfg, old)
		logger.Info("Settings reloaded.", "changed", changed, "needsRestart", changed)
		old = cfg
	}
}

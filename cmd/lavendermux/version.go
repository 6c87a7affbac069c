package main

import (
	"fmt"
	"runtime/debug"

	"github.com/lavendermux/lavendermux/object"
)

// versionCommand prints the version of the binary.
type versionCommand struct{}

// Run implements kong's command.
func (c *versionCommand) Run(s *session) error {
	version, revision, toolchain := "(unknown)", "", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version, toolchain = info.Main.Version, info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(s.out, "lavendermux %s%s %s, resources %s\n", version, revision, toolchain, object.APIVersion)
	return err
}

package main

import (
	"fmt"

	"github.com/lavendermux/lavendermux/ecfg"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/scfg"
)

type (
	// settingsCommand groups what looks at settings files.
	settingsCommand struct {
		Check settingsCheckCommand `cmd:"" help:"Check a settings file and show it with every default."`
	}

	settingsCheckCommand struct {
		Program string `arg:"" enum:"entry,side" help:"Program that the file is for: entry or side."`
		File    string `arg:"" help:"Settings file; - for standard input."`
		Quiet   bool   `short:"q" help:"Print nothing when the file is right."`
	}
)

// Run implements kong's command.
func (c *settingsCheckCommand) Run(s *session) error {
	raw, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	filled, err := c.parse(raw)
	if err != nil {
		return err
	}
	if c.Quiet {
		return nil
	}
	if err := s.printJSON(filled); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.errOut, "lavendermux: the settings are right\n")
	return nil
}

func (c *settingsCheckCommand) parse(raw []byte) (any, error) {
	switch c.Program {
	case "entry":
		return ecfg.Parse(raw)
	case "side":
		return scfg.Parse(raw)
	}
	return nil, &fault.FieldError{Field: "program", Problem: "is entry or side"}
}

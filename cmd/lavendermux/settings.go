package main

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/auth"
	"github.com/lavendermux/lavendermux/ecfg"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/platform/conf"
	"github.com/lavendermux/lavendermux/platform/recs"
	"github.com/lavendermux/lavendermux/scfg"
)

type (
	// settingsCommand groups the commands about settings files.
	settingsCommand struct {
		Check settingsCheckCommand `cmd:"" help:"Validate a settings file and print it with all defaults."`
		Token settingsTokenCommand `cmd:"" help:"Create a token, and its line for the token file."`
	}

	settingsCheckCommand struct {
		Program string `arg:"" enum:"entry,side,node,manifest" help:"Kind of file: entry, side, node, or manifest for the routes of a deployment."`
		File    string `arg:"" help:"Settings file or manifest; - for standard input."`
		Quiet   bool   `short:"q" help:"Print nothing if the file is valid."`
	}

	settingsTokenCommand struct {
		Name          string            `arg:"" help:"Name of the token's owner."`
		Caller        bool              `help:"Allow live requests."`
		Subscriptions []string          `placeholder:"NAME" help:"Allow the trainer of these subscriptions."`
		Kinds         map[string]string `placeholder:"KIND=RIGHT" help:"Allow an operator to read or write, by kind of resource; * for all kinds."`
	}

	// tokenLine is one element of a token file.
	tokenLine struct {
		Name          string            `json:"name"`
		Hash          string            `json:"hash"`
		Caller        bool              `json:"caller,omitempty"`
		Subscriptions []string          `json:"subscriptions,omitempty"`
		Kinds         map[string]string `json:"kinds,omitempty"`
	}
)

// Run implements kong's command.
func (c *settingsCheckCommand) Run(s *session) error {
	raw, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	settings, err := c.parse(raw)
	if err != nil {
		return err
	}
	if c.Quiet {
		return nil
	}
	if err := s.printJSON(settings); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.errOut, "lavendermux: the settings are valid\n")
	return nil
}

func (c *settingsCheckCommand) parse(raw []byte) (any, error) {
	switch c.Program {
	case "entry":
		return ecfg.Parse(raw)
	case "side":
		return scfg.Parse(raw)
	case "node":
		return parseNode(raw)
	case "manifest":
		return parseManifest(raw)
	}
	return nil, &fault.FieldError{Field: "program", Problem: "is entry, side, node or manifest"}
}

func parseNode(raw []byte) (any, error) {
	cfg, err := conf.Parse(raw)
	var missing *conf.MissingFieldError
	if errors.As(err, &missing) {
		return nil, &fault.FieldError{Field: missing.Field, Problem: "is missing"}
	}
	if err != nil {
		return nil, &fault.FieldError{Field: "settings", Problem: err.Error()}
	}
	return cfg, nil
}

func parseManifest(raw []byte) (any, error) {
	m, err := recs.DecodeManifest(raw)
	if err != nil {
		return nil, &fault.FieldError{Field: "manifest", Problem: err.Error()}
	}
	if problems := m.Problems(); len(problems) > 0 {
		return nil, &fault.FieldError{Field: "manifest", Problem: strings.Join(problems, "\n")}
	}
	return m, nil
}

// Help implements kong's HelpProvider.
func (c *settingsTokenCommand) Help() string {
	return `The token is printed to standard output and not stored; the line for the file {"tokens": [...]} is printed to standard
error and has only its hash.`
}

// Run implements kong's command.
func (c *settingsTokenCommand) Run(s *session) error {
	token, hash := auth.NewToken()
	line := tokenLine{Name: c.Name, Hash: hash, Caller: c.Caller, Subscriptions: c.Subscriptions, Kinds: c.Kinds}
	raw, err := json.Marshal(line)
	if err != nil {
		return err
	}
	if _, err := auth.Load([]byte(`{"tokens":[` + string(raw) + `]}`)); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.errOut, "%s\n", raw)
	s.print(token + "\n")
	return nil
}

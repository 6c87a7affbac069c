package main

import (
	"strconv"

	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/object"
)

const decimal = 10

// getCommand shows resources.
type getCommand struct {
	Kind   string `arg:"" optional:"" help:"pool, subscription, service or policy; all kinds when left out."`
	Name   string `arg:"" optional:"" help:"Name of one resource."`
	Output string `short:"o" enum:"table,json" default:"table" help:"table or json; apply reads the json (${default})."`
}

// Run implements kong's command.
func (c *getCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := s.timeout()
	defer cancel()
	if c.Name != "" {
		o, err := client.Get(ctx, c.Kind, c.Name)
		if err != nil {
			return err
		}
		if c.Output == "json" {
			return s.printJSON(o)
		}
		return s.printTable([]object.Object{o})
	}
	all, err := client.List(ctx, c.Kind)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return s.printJSON(all)
	}
	return s.printTable(all)
}

func (s *session) printTable(all []object.Object) error {
	g := grid.New("KIND", "NAME", "REVISION", "CHANGED", "OPERATION")
	for _, o := range all {
		g.Add(o.Kind, o.Name, formatInt(o.Revision), o.ChangedAt.Format("2006-01-02 15:04:05Z"), o.Operation)
	}
	s.print(g.Text())
	return nil
}

func formatInt(n int64) string {
	return strconv.FormatInt(n, decimal)
}

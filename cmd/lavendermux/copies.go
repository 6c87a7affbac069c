package main

import (
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/walog"
)

type (
	// copiesCommand groups the commands about data instances' disks.
	copiesCommand struct {
		Check copiesCheckCommand `cmd:"" help:"List the copies of results on a data instance's disk, and say which are torn."`
	}

	copiesCheckCommand struct {
		Dir string `arg:"" type:"existingdir" help:"Folder of the copies: copies in the instance's data folder."`
	}
)

// Help implements kong's HelpProvider.
func (c *copiesCheckCommand) Help() string {
	return `Copies have the results that were finished while the platform's store was away. One that stays with results after
the store is back says that its holder was lost. The command changes nothing; it exits with 1 if a copy is torn.`
}

// Run prints the copies in a folder.
func (c *copiesCheckCommand) Run(s *session) error {
	table, torn, err := walog.Check(c.Dir)
	if err != nil {
		return err
	}
	s.print(table.Text())
	if torn > 0 {
		return errors.Newf("%d copies are torn", torn)
	}
	return nil
}

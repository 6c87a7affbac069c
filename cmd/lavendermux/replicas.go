package main

import (
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/walog"
)

type (
	// replicasCommand groups the commands that inspect the disks of data instances.
	replicasCommand struct {
		Check replicasCheckCommand `cmd:"" help:"List the replicas of results on a data instance's disk, and which are corrupt."`
	}

	replicasCheckCommand struct {
		Dir string `arg:"" type:"existingdir" help:"Directory of the replicas: copies in the instance's data directory."`
	}
)

// Help implements kong's HelpProvider.
func (c *replicasCheckCommand) Help() string {
	return `Replicas hold the results of items that finished while the metadata store was unavailable. A replica that still has
results after the store is back means that the owner of the batch was lost. The command is read-only; it exits with 1
if a replica is corrupt.`
}

// Run prints the replicas in the directory.
func (c *replicasCheckCommand) Run(s *session) error {
	table, corrupt, err := walog.Check(c.Dir)
	if err != nil {
		return err
	}
	s.print(table.Text())
	if corrupt > 0 {
		return errors.Newf("%d replicas are corrupt", corrupt)
	}
	return nil
}

package daemon

import (
	"quartzshelf.dev/eventlog"
	"quartzshelf.dev/membership"
)

// streamConfiguration is the log stream that operators publish on.
const streamConfiguration = "configuration"

// configuration lets the folded configuration spread with membership.
type configuration struct {
	fold *eventlog.Fold
}

var _ membership.Configuration = configuration{}

// Next implements membership.Configuration.
func (c configuration) Next() int64 { return c.fold.Next() }

// Encoded implements membership.Configuration.
func (c configuration) Encoded() ([]byte, error) {
	checkpoint, err := c.fold.Checkpoint()
	if err != nil {
		return nil, err
	}
	return checkpoint.Encode(), nil
}

// Install implements membership.Configuration.
func (c configuration) Install(data []byte) error {
	checkpoint, err := eventlog.DecodeCheckpoint(data)
	if err != nil {
		return err
	}
	c.fold.Install(checkpoint)
	return nil
}

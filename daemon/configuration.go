package daemon

import (
	"time"

	"quartzshelf.dev/eventlog"
	"quartzshelf.dev/membership"
)

// streamConfiguration is the log stream that operators publish on.
const streamConfiguration = "configuration"

// configuration lets the folded configuration spread with membership.
type configuration struct {
	follower *eventlog.Follower
	fold     *eventlog.Fold
}

// logSilence is for how long the log may not answer before the configuration
// is asked of peers.
const logSilence = 4 * time.Second

var _ membership.Configuration = configuration{}

// Next implements membership.Configuration.
func (c configuration) Next() int64 { return c.fold.Next() }

// Stale implements membership.Configuration.
func (c configuration) Stale() bool {
	return time.Since(c.follower.Confirmed()) > logSilence
}

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

package eventlog

import "time"

// staleAfter is how long after the last successful read a fold counts as stale.
const staleAfter = 4 * time.Second

// Shared lets daemons copy the fold of a follower from each other, so that they get the newest
// state even if they cannot read the log. It implements membership.Configuration.
type Shared struct {
	follower *Follower
}

// NewShared returns a Shared with the fold of the given follower.
func NewShared(follower *Follower) Shared {
	return Shared{follower: follower}
}

// Next returns one past the highest offset folded by the follower.
func (s Shared) Next() int64 { return s.follower.fold.Next() }

// IsStale reports whether the log has not been read recently.
func (s Shared) IsStale() bool {
	return time.Since(s.follower.Confirmed()) > staleAfter
}

// Encoded returns the fold as an encoded checkpoint.
func (s Shared) Encoded() ([]byte, error) {
	checkpoint, err := s.follower.fold.Checkpoint()
	if err != nil {
		return nil, err
	}
	return checkpoint.Encode(), nil
}

// Install restores an encoded checkpoint from a peer if it is newer than the fold. It returns an
// error if the checkpoint does not decode.
func (s Shared) Install(data []byte) error {
	checkpoint, err := DecodeCheckpoint(data)
	if err != nil {
		return err
	}
	s.follower.fold.Install(checkpoint)
	return nil
}

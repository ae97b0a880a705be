package eventlog

import "time"

// staleAfter is how long after the last successful read a fold counts as stale.
const staleAfter = 4 * time.Second

// Shared exposes a fold to other daemons, which may need it while the log is unavailable.
type Shared struct {
	follower *Follower
}

// NewShared returns the Shared of follower's fold.
func NewShared(follower *Follower) Shared {
	return Shared{follower: follower}
}

// Next returns one past the highest offset folded.
func (s Shared) Next() int64 { return s.follower.fold.Next() }

// Stale reports whether the log has not been read recently.
func (s Shared) Stale() bool {
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

// Install restores a checkpoint from a peer; one that is not newer changes nothing.
func (s Shared) Install(data []byte) error {
	checkpoint, err := DecodeCheckpoint(data)
	if err != nil {
		return err
	}
	s.follower.fold.Install(checkpoint)
	return nil
}

package eventlog

import "time"

// logSilence is for how long the log may not answer before a fold is asked of
// peers.
const logSilence = 4 * time.Second

// Shared lets daemons pass a fold on to each other while the log is out.
type Shared struct {
	follower *Follower
}

// NewShared returns the shared form of what follower folds.
func NewShared(follower *Follower) Shared {
	return Shared{follower: follower}
}

// Next returns one past the highest offset folded.
func (s Shared) Next() int64 { return s.follower.fold.Next() }

// Stale reports whether the log has not been read for a while.
func (s Shared) Stale() bool {
	return time.Since(s.follower.Confirmed()) > logSilence
}

// Encoded returns the fold as a checkpoint.
func (s Shared) Encoded() ([]byte, error) {
	checkpoint, err := s.follower.fold.Checkpoint()
	if err != nil {
		return nil, err
	}
	return checkpoint.Encode(), nil
}

// Install takes a checkpoint from a peer; one that is not newer changes nothing.
func (s Shared) Install(data []byte) error {
	checkpoint, err := DecodeCheckpoint(data)
	if err != nil {
		return err
	}
	s.follower.fold.Install(checkpoint)
	return nil
}

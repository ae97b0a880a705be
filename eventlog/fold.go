package eventlog

import (
	"encoding/json"
	"sync"
	"time"

	"quartzshelf.dev/cluster"
)

// maxPending bounds the records kept while a fold waits for a checkpoint.
const maxPending = 100_000

// State is what a stream folds into. Apply must be a function of the state and
// of its arguments alone, so that every reader reaches the same state.
type State interface {
	// Apply folds one record. Data that does not decode must be ignored.
	Apply(record cluster.Record, data json.RawMessage)
	// Checkpoint returns the state in a form that Restore takes.
	Checkpoint() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// Fold feeds the records of a stream to a State, in order and each once, and
// closes gaps that retention left by checkpoints. It is safe for concurrent
// use; the State is only called with the fold's lock held.
type Fold struct {
	mu      sync.Mutex
	state   State
	next    int64
	time    time.Time
	pending []cluster.Record
	// checkpointAt and checkpointTime describe the newest checkpoint seen.
	checkpointAt   int64
	checkpointTime time.Time
	// watched holds the watchers of each record id that somebody waits for.
	watched map[string]*watch
}

// watch is closed when its record is folded. Several may wait for one record.
type watch struct {
	seen    chan struct{}
	holders int
}

// NewFold returns a fold of state that starts at offset zero.
func NewFold(state State) *Fold {
	return &Fold{state: state, checkpointAt: -1, watched: make(map[string]*watch)}
}

// Next returns one past the highest offset folded.
func (f *Fold) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Watch returns a channel that is closed when the record with the given id is
// folded. Call Unwatch when it is no longer of interest.
func (f *Fold) Watch(id string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.watched[id]
	if !ok {
		w = &watch{seen: make(chan struct{})}
		f.watched[id] = w
	}
	w.holders++
	return w.seen
}

// Unwatch ends what one call of Watch began.
func (f *Fold) Unwatch(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.watched[id]
	if !ok {
		return
	}
	w.holders--
	if w.holders == 0 {
		delete(f.watched, id)
	}
}

// Waiting reports whether records are kept back until a checkpoint comes.
func (f *Fold) Waiting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) > 0
}

// Add takes the next record of the stream. Records below Next are ignored, so
// a repeated read does no harm. A record beyond Next is kept until a
// checkpoint closes the gap.
func (f *Fold) Add(record cluster.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record.Offset < f.next {
		return
	}
	if record.Offset == f.next && len(f.pending) == 0 {
		f.apply(record)
		return
	}
	if n := len(f.pending); n > 0 && record.Offset <= f.pending[n-1].Offset {
		return
	}
	if len(f.pending) >= maxPending {
		f.pending = nil
	}
	f.pending = append(f.pending, record)
	if c, ok := checkpointOf(record); ok && c.Next >= f.pending[0].Offset {
		f.restore(c)
	}
}

// Reset forgets the records kept back. The follower calls it when it reads the
// stream anew from its earliest record.
func (f *Fold) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = nil
}

// Install takes a checkpoint from a peer. It only moves forwards: a checkpoint
// at or below Next is ignored. It reports whether the state changed.
func (f *Fold) Install(c Checkpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Next <= f.next {
		return false
	}
	return f.restore(c)
}

// Checkpoint returns the present state as a checkpoint.
func (f *Fold) Checkpoint() (Checkpoint, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.state.Checkpoint()
	return Checkpoint{Next: f.next, Time: f.time, Data: data}, err
}

// newestCheckpoint returns the offset (-1 for none) and log time of the newest
// checkpoint record folded.
func (f *Fold) newestCheckpoint() (int64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkpointAt, f.checkpointTime
}

// restore replaces the state by c and folds what was kept back after it.
func (f *Fold) restore(c Checkpoint) bool {
	if err := f.state.Restore(c.Data); err != nil {
		return false
	}
	f.next, f.time = c.Next, c.Time
	pending := f.pending
	f.pending = nil
	for i, record := range pending {
		if record.Offset < f.next {
			continue
		}
		if record.Offset > f.next {
			f.pending = pending[i:]
			break
		}
		f.apply(record)
	}
	return true
}

// apply folds a record whose offset is Next.
func (f *Fold) apply(record cluster.Record) {
	f.next = record.Offset + 1
	if record.Time.After(f.time) {
		f.time = record.Time
	}
	var e envelope
	if json.Unmarshal(record.Data, &e) != nil {
		return
	}
	switch e.Kind {
	case kindCheckpoint:
		f.checkpointAt, f.checkpointTime = record.Offset, record.Time
	case kindRecord:
		f.state.Apply(record, e.Data)
	}
	if w, ok := f.watched[record.ID]; ok {
		delete(f.watched, record.ID)
		close(w.seen)
	}
}

func checkpointOf(record cluster.Record) (Checkpoint, bool) {
	var e envelope
	if json.Unmarshal(record.Data, &e) != nil || e.Kind != kindCheckpoint {
		return Checkpoint{}, false
	}
	c, err := DecodeCheckpoint(e.Checkpoint)
	return c, err == nil
}

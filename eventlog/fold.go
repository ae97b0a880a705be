package eventlog

import (
	"encoding/json"
	"sync"
	"time"

	"quartzshelf.dev/cluster"
)

// maxPending is the maximum number of records kept while a fold waits for a checkpoint.
const maxPending = 100_000

// State is the result of folding a stream. Apply must depend only on the state and its arguments,
// so that every reader reaches the same state.
type State interface {
	// Apply folds one record. It must ignore data that does not decode.
	Apply(record cluster.Record, data json.RawMessage)
	// Checkpoint returns the state encoded for Restore.
	Checkpoint() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// Fold applies the records of a stream to a State, in order and exactly once, and skips gaps left
// by the log's retention with the help of checkpoints. It is safe for concurrent use. The State is
// called only while the fold is locked.
type Fold struct {
	mu      sync.Mutex
	state   State
	next    int64
	time    time.Time
	pending []cluster.Record
	// checkpointAt and checkpointTime are the offset and log time of the newest checkpoint record.
	checkpointAt   int64
	checkpointTime time.Time
	// watched holds the watches by record id.
	watched map[string]*watch
}

// watch signals that a record was folded, to any number of holders.
type watch struct {
	folded  chan struct{}
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

// Watch returns a channel that is closed when the record with the given id is folded. The caller
// must call Unwatch in the end.
func (f *Fold) Watch(id string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.watched[id]
	if !ok {
		w = &watch{folded: make(chan struct{})}
		f.watched[id] = w
	}
	w.holders++
	return w.folded
}

// Unwatch releases the result of one call of Watch.
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

// Waiting reports whether records are held back until a checkpoint closes a gap.
func (f *Fold) Waiting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) > 0
}

// Add folds the next record of the stream. Records before Next are ignored, so repeated reads are
// harmless. Records beyond Next are held back until a checkpoint closes the gap.
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

// Reset drops the records held back, for a follower that reads the stream again from its earliest
// record.
func (f *Fold) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = nil
}

// Install restores a checkpoint from a peer unless it is at or before Next. It reports whether the
// state changed.
func (f *Fold) Install(c Checkpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Next <= f.next {
		return false
	}
	return f.restore(c)
}

// Checkpoint returns the current state as a checkpoint.
func (f *Fold) Checkpoint() (Checkpoint, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.state.Checkpoint()
	return Checkpoint{Next: f.next, Time: f.time, Data: data}, err
}

// newestCheckpoint returns the offset and log time of the newest checkpoint record folded; the
// offset is -1 if there is none.
func (f *Fold) newestCheckpoint() (int64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkpointAt, f.checkpointTime
}

// restore replaces the state by c and folds the records held back that follow it.
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

// apply folds the record at offset Next.
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
		close(w.folded)
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

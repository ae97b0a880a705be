package eventlog

import (
	"encoding/json"
	"sync"
	"time"

	"quartzshelf.dev/cluster"
)

// maxPending is the maximum number of records that a fold holds back while it waits for a
// checkpoint.
const maxPending = 100_000

// State is a state built from the records of a stream. The effect of Apply must depend only on the
// state and the arguments, so that every reader of the stream reaches the same state.
type State interface {
	// Apply applies one record with the given content. It must ignore data that does not decode.
	Apply(record cluster.Record, data json.RawMessage)
	// Checkpoint returns the state encoded for Restore.
	Checkpoint() ([]byte, error)
	// Restore replaces the state by one that Checkpoint returned.
	Restore(data []byte) error
}

// Fold applies the records of a stream to a State, each once and in order. If the log no longer
// keeps some records, it restores a checkpoint that includes them. It is safe for concurrent use.
// The State is called only while the fold is locked.
type Fold struct {
	mu    sync.Mutex
	state State
	// next is one past the highest offset folded.
	next int64
	// time is the latest log time of the records folded.
	time time.Time
	// pending holds the records that are held back until a checkpoint closes a gap before them.
	pending []cluster.Record
	// checkpointOffset and checkpointTime are the offset and log time of the newest checkpoint record.
	checkpointOffset int64
	checkpointTime   time.Time
	// watches holds the watches by record id.
	watches map[string]*watch
}

// watch signals that a record was folded. Callers of Watch with the same record id share it.
type watch struct {
	// folded is closed when the record is folded.
	folded chan struct{}
	// holders is the number of callers that share the watch.
	holders int
}

// NewFold returns a fold of state that starts at offset zero.
func NewFold(state State) *Fold {
	return &Fold{state: state, checkpointOffset: -1, watches: make(map[string]*watch)}
}

// Next returns one past the highest offset folded.
func (f *Fold) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Watch returns a channel that is closed when the record with the given id is folded. The caller
// must call Unwatch once it no longer needs the channel.
func (f *Fold) Watch(id string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.watches[id]
	if !ok {
		w = &watch{folded: make(chan struct{})}
		f.watches[id] = w
	}
	w.holders++
	return w.folded
}

// Unwatch releases the channel that one call of Watch returned.
func (f *Fold) Unwatch(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.watches[id]
	if !ok {
		return
	}
	w.holders--
	if w.holders == 0 {
		delete(f.watches, id)
	}
}

// HasPending reports whether records are held back until a checkpoint closes a gap.
func (f *Fold) HasPending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) > 0
}

// Add folds a record if its offset is Next. Records with lower offsets are ignored, so repeated
// reads are harmless. Records with higher offsets are held back until a checkpoint closes the gap.
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
	if c, ok := decodeCheckpointRecord(record); ok && c.Next >= f.pending[0].Offset {
		f.restore(c)
	}
}

// DropPending drops the records that were added but not yet folded. It is called before the stream is
// read again from its earliest record.
func (f *Fold) DropPending() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = nil
}

// Install restores a checkpoint from a peer if it includes records that have not been folded. It
// reports whether the state changed.
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

// newestCheckpoint returns the offset and log time of the newest checkpoint record folded. The
// offset is -1 if there is none.
func (f *Fold) newestCheckpoint() (int64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkpointOffset, f.checkpointTime
}

// restore replaces the state by checkpoint c, then folds the records held back up to the next gap.
// It reports whether c was valid.
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

// apply folds the record at offset Next and signals its watch.
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
		f.checkpointOffset, f.checkpointTime = record.Offset, record.Time
	case kindRecord:
		f.state.Apply(record, e.Data)
	}
	if w, ok := f.watches[record.ID]; ok {
		delete(f.watches, record.ID)
		close(w.folded)
	}
}

// decodeCheckpointRecord returns the checkpoint in a record, and false if the record holds none.
func decodeCheckpointRecord(record cluster.Record) (Checkpoint, bool) {
	var e envelope
	if json.Unmarshal(record.Data, &e) != nil || e.Kind != kindCheckpoint {
		return Checkpoint{}, false
	}
	c, err := DecodeCheckpoint(e.Checkpoint)
	return c, err == nil
}

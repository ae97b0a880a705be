package config

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/eventlog"
)

// historyLimit is the number of verdicts kept for operators.
const historyLimit = 200

// State is the configuration as built from the records of the configuration stream. Readers get an
// immutable View, which is replaced after each accepted change set.
type State struct {
	view    atomic.Pointer[View]
	history atomic.Pointer[[]Verdict]
}

var _ eventlog.State = (*State)(nil)

// NewState returns an empty configuration.
func NewState() *State {
	s := &State{}
	s.view.Store(newView(nil, 0))
	s.history.Store(&[]Verdict{})
	return s
}

// View returns the configuration in force.
func (s *State) View() *View {
	return s.view.Load()
}

// History returns the newest verdicts, oldest first.
func (s *State) History() []Verdict {
	return *s.history.Load()
}

// Apply applies the change set in a record if it is valid, and records a verdict on it. It
// implements eventlog.State.
func (s *State) Apply(record cluster.Record, data json.RawMessage) {
	var set ChangeSet
	verdict := Verdict{Offset: record.Offset, ID: record.ID, Time: record.Time.UTC().Format(time.RFC3339Nano)}
	if err := json.Unmarshal(data, &set); err != nil {
		verdict.Problem = "not a change set: " + err.Error()
		s.addVerdict(verdict)
		return
	}
	verdict.Author = set.Author
	for _, c := range set.Changes {
		verdict.Objects = append(verdict.Objects, c.Document.Key().String())
	}
	objects, err := s.View().apply(set, record.Offset+1)
	if err != nil {
		verdict.Problem = err.Error()
		s.addVerdict(verdict)
		return
	}
	verdict.Accepted = true
	s.view.Store(newView(objects, record.Offset+1))
	s.addVerdict(verdict)
}

// CheckChangeSet returns the error with which Apply would reject set now, or nil. It changes
// nothing.
func (s *State) CheckChangeSet(set ChangeSet) error {
	_, err := s.View().apply(set, 0)
	return err
}

// addVerdict adds a verdict to the history and drops the oldest one beyond historyLimit.
func (s *State) addVerdict(v Verdict) {
	kept := *s.history.Load()
	if len(kept) >= historyLimit {
		kept = kept[len(kept)-historyLimit+1:]
	}
	next := make([]Verdict, 0, len(kept)+1)
	next = append(append(next, kept...), v)
	s.history.Store(&next)
}

// storedObject is the encoding of an object in a checkpoint.
type storedObject struct {
	Document []byte `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
}

// storedState is the encoding of a State in a checkpoint.
type storedState struct {
	Objects  []storedObject `cbor:"1,keyasint"`
	Revision int64          `cbor:"2,keyasint"`
}

// Checkpoint returns the encoded objects, without the history. It implements eventlog.State.
func (s *State) Checkpoint() ([]byte, error) {
	view := s.View()
	stored := storedState{Revision: view.Revision()}
	for _, object := range view.objects {
		encoded, err := json.Marshal(object.document)
		if err != nil {
			return nil, err
		}
		stored.Objects = append(stored.Objects, storedObject{Document: encoded, Revision: object.revision})
	}
	return cbor.Marshal(stored)
}

// Restore replaces the objects by those in a checkpoint. It implements eventlog.State.
func (s *State) Restore(data []byte) error {
	var stored storedState
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("decode checkpoint: %w", err)
	}
	objects := make(map[Key]Object, len(stored.Objects))
	for _, o := range stored.Objects {
		var d Document
		if err := json.Unmarshal(o.Document, &d); err != nil {
			return fmt.Errorf("decode checkpoint: %w", err)
		}
		objects[d.Key()] = Object{document: d, revision: o.Revision}
	}
	s.view.Store(newView(objects, stored.Revision))
	return nil
}

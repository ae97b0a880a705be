// Package intent ensures that requests that must not be repeated run at most once across all
// daemons. Before a daemon sends such a request, it claims the request's key by a record in the
// log, the intent. The first claim in the log wins. Only its daemon may send the request, and only
// once.
package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/eventlog"
)

// Stream is the log stream of intents.
const Stream = "intents"

// Operation is what a record does to a key.
type Operation string

// Operations.
const (
	// OperationClaim claims a key for an attempt.
	OperationClaim Operation = "claim"
	// OperationRelease releases the key if the attempt holds it, and bars the attempt from claiming
	// it later. It may only be written for an attempt that was not and will not be sent.
	OperationRelease Operation = "release"
	// OperationDone records that the attempt completed.
	OperationDone Operation = "done"
)

// Record is a record of the log stream. Attempt is the ID of an attempt, Holder the ID of its
// daemon, and Body the hash of the request's content (see BodyHash). Status is the HTTP status of
// the answer.
type Record struct {
	Operation Operation `json:"op"`
	Key       Key       `json:"key"`
	Attempt   string    `json:"attempt"`
	Holder    string    `json:"holder,omitempty"`
	Body      string    `json:"body,omitempty"`
	Status    int       `json:"status,omitempty"`
}

// Key identifies a request. It is a hash of the client account and of the key that the caller
// chose.
type Key string

// KeyOf returns the key for a caller's key within a client account.
func KeyOf(account, callerKey string) Key {
	return Key(shortHash([]byte(account + "\x00" + callerKey)))
}

// BodyHash returns a hash of the method, path and body of a request. It shows whether a request
// with the same key is a repetition.
func BodyHash(method, path string, body []byte) string {
	return shortHash(slices.Concat([]byte(method+" "+path+"\x00"), body))
}

// shortHash returns the first half of a SHA-256 hash in hexadecimal.
func shortHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:len(sum)/2])
}

// Entry is the state of a key. Its body is a hash (see BodyHash).
type Entry struct {
	attempt   string
	holder    string
	body      string
	status    int
	isDone    bool
	expiresAt time.Time
	// released lists the IDs of attempts that were released and may not claim the key again.
	released []string
}

// Attempt returns the ID of the attempt that holds the key. It is empty if there is none.
func (e Entry) Attempt() string { return e.attempt }

// Holder returns the ID of the only daemon that may send the request.
func (e Entry) Holder() string { return e.holder }

// Body returns the hash of the request's content.
func (e Entry) Body() string { return e.body }

// isClaimable reports whether a request with the given body hash may claim the key. If only a
// release was seen, the entry has no body hash yet.
func (e Entry) isClaimable(body string) bool {
	return e.attempt == "" && (e.body == "" || e.body == body)
}

// Done reports whether the log has recorded that the request ran, and the status of its answer.
func (e Entry) Done() (status int, done bool) { return e.status, e.isDone }

// State is the state of all keys, built from the log stream. A key is removed ttl after its first
// record. The times of the log's records decide, so that all daemons remove it at the same record.
// It is safe for concurrent use.
type State struct {
	ttl time.Duration

	mu      sync.RWMutex
	entries map[Key]Entry
	// order lists the keys by the time at which they expire, the earliest first.
	order []Key
}

var _ eventlog.State = (*State)(nil)

// NewState returns a state that keeps keys for ttl, which must be well below the log's retention.
func NewState(ttl time.Duration) *State {
	return &State{ttl: ttl, entries: make(map[Key]Entry)}
}

// Entry returns the state of a key.
func (s *State) Entry(key Key) (Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[key]
	return e, ok
}

// Len returns the number of keys.
func (s *State) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entries)
}

// Apply implements eventlog.State.
func (s *State) Apply(record cluster.Record, data json.RawMessage) {
	var r Record
	if json.Unmarshal(data, &r) != nil || r.Key == "" || r.Attempt == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(record.Time)
	switch r.Operation {
	case OperationClaim:
		s.claim(r, record.Time)
	case OperationRelease:
		s.release(r, record.Time)
	case OperationDone:
		s.finish(r)
	}
}

// claim assigns the key to an attempt. It has no effect if another attempt holds the key, the body
// hash differs or the attempt was released.
func (s *State) claim(r Record, at time.Time) {
	e, exists := s.entries[r.Key]
	if !e.isClaimable(r.Body) || slices.Contains(e.released, r.Attempt) {
		return
	}
	if !exists {
		e = s.add(r.Key, at)
	}
	e.attempt, e.holder, e.body = r.Attempt, r.Holder, r.Body
	s.entries[r.Key] = e
}

// release releases the key if the attempt holds it. If the attempt's claim follows its release in
// the log, the claim has no effect.
func (s *State) release(r Record, at time.Time) {
	e, exists := s.entries[r.Key]
	if !exists {
		e = s.add(r.Key, at)
	}
	if e.isDone || slices.Contains(e.released, r.Attempt) {
		return
	}
	e.released = append(slices.Clone(e.released), r.Attempt)
	if e.attempt == r.Attempt {
		e.attempt, e.holder = "", ""
	}
	s.entries[r.Key] = e
}

// add creates an entry for a key first seen at the given log time.
func (s *State) add(key Key, at time.Time) Entry {
	s.order = append(s.order, key)
	return Entry{expiresAt: at.Add(s.ttl)}
}

// finish records that the attempt that holds the key completed.
func (s *State) finish(r Record) {
	e, exists := s.entries[r.Key]
	if !exists || e.attempt != r.Attempt {
		return
	}
	e.isDone, e.status = true, r.Status
	s.entries[r.Key] = e
}

// expire removes the keys that have expired at the given log time.
func (s *State) expire(logTime time.Time) {
	n := 0
	for n < len(s.order) && logTime.After(s.entries[s.order[n]].expiresAt) {
		delete(s.entries, s.order[n])
		n++
	}
	s.order = s.order[n:]
}

// storedEntry is the entry of a key in a checkpoint. Body is the hash of the request (see
// BodyHash). ExpiresAt is in nanoseconds since the Unix epoch.
type storedEntry struct {
	Key       Key      `cbor:"1,keyasint"`
	Attempt   string   `cbor:"2,keyasint"`
	Holder    string   `cbor:"3,keyasint"`
	Body      string   `cbor:"4,keyasint"`
	Status    int      `cbor:"5,keyasint"`
	Done      bool     `cbor:"6,keyasint"`
	ExpiresAt int64    `cbor:"7,keyasint"`
	Released  []string `cbor:"8,keyasint"`
}

// Checkpoint implements eventlog.State.
func (s *State) Checkpoint() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stored := make([]storedEntry, 0, len(s.order))
	for _, key := range s.order {
		e := s.entries[key]
		stored = append(stored, storedEntry{
			Key: key, Attempt: e.attempt, Holder: e.holder, Body: e.body, Status: e.status,
			Done: e.isDone, ExpiresAt: e.expiresAt.UnixNano(), Released: e.released,
		})
	}
	return cbor.Marshal(stored)
}

// Restore implements eventlog.State.
func (s *State) Restore(data []byte) error {
	var stored []storedEntry
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("decode checkpoint of intents: %w", err)
	}
	entries := make(map[Key]Entry, len(stored))
	order := make([]Key, 0, len(stored))
	for _, e := range stored {
		entries[e.Key] = Entry{
			attempt: e.Attempt, holder: e.Holder, body: e.Body, status: e.Status,
			isDone: e.Done, expiresAt: time.Unix(0, e.ExpiresAt), released: e.Released,
		}
		order = append(order, e.Key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.order = entries, order
	return nil
}

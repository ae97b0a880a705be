// Package ownership decides which daemon manages a fabric domain. Grants in the log name an owner
// and deputies, in this order, as the holders of an epoch. A deputy can take over without a new
// grant, for example while the log is unavailable, by using a higher rank of the same epoch.
package ownership

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/eventlog"
)

// Stream is the log stream of grants.
const Stream = "ownership"

// Record is a grant as written to the log.
type Record struct {
	Domain string `json:"domain"`
	// Replaces is the epoch of the grant that this one replaces. A grant is ignored if that is not
	// the newest grant of the domain.
	Replaces uint64 `json:"replaces"`
	// Holders lists the IDs of the owner and its deputies, the owner first.
	Holders []string `json:"holders"`
}

// Grant is a grant that took effect. The zero value means that there is none.
type Grant struct {
	domain  string
	epoch   uint64
	holders []string
}

// Domain returns the fabric domain of the grant.
func (g Grant) Domain() string { return g.domain }

// Epoch returns the log offset of the grant plus one; zero if there is no grant.
func (g Grant) Epoch() uint64 { return g.epoch }

// Holders returns the IDs of the owner and its deputies, the owner first.
func (g Grant) Holders() []string { return g.holders }

// Owner returns the ID of the owner, or an empty string if there is no grant.
func (g Grant) Owner() string {
	if len(g.holders) == 0 {
		return ""
	}
	return g.holders[0]
}

// Position returns the index of a daemon among the holders, or -1 if it is not one of them.
func (g Grant) Position(daemon string) int {
	return slices.Index(g.holders, daemon)
}

// State holds the newest grant of each domain, built from the log stream. It is safe for concurrent
// use.
type State struct {
	mu     sync.RWMutex
	grants map[string]Grant
}

var _ eventlog.State = (*State)(nil)

// NewState returns a state without grants.
func NewState() *State {
	return &State{grants: make(map[string]Grant)}
}

// Grant returns the newest grant of a domain, or the zero value if there is none.
func (s *State) Grant(domain string) Grant {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.grants[domain]
}

// Grants returns the newest grant of each domain.
func (s *State) Grants() map[string]Grant {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.grants)
}

// Apply implements eventlog.State. If several grants replace the same one, only the first in the
// log takes effect.
func (s *State) Apply(record cluster.Record, data json.RawMessage) {
	var r Record
	if json.Unmarshal(data, &r) != nil || r.Domain == "" || len(r.Holders) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grants[r.Domain].epoch != r.Replaces {
		return
	}
	s.grants[r.Domain] = Grant{domain: r.Domain, epoch: uint64(record.Offset) + 1, holders: r.Holders}
}

// storedGrant is a grant in a checkpoint.
type storedGrant struct {
	Domain  string   `cbor:"1,keyasint"`
	Epoch   uint64   `cbor:"2,keyasint"`
	Holders []string `cbor:"3,keyasint"`
}

// Checkpoint implements eventlog.State.
func (s *State) Checkpoint() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stored := make([]storedGrant, 0, len(s.grants))
	for _, g := range s.grants {
		stored = append(stored, storedGrant{Domain: g.domain, Epoch: g.epoch, Holders: g.holders})
	}
	return cbor.Marshal(stored)
}

// Restore implements eventlog.State.
func (s *State) Restore(data []byte) error {
	var stored []storedGrant
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("decode checkpoint of grants: %w", err)
	}
	grants := make(map[string]Grant, len(stored))
	for _, g := range stored {
		grants[g.Domain] = Grant{domain: g.Domain, epoch: g.Epoch, holders: g.Holders}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants = grants
	return nil
}

package serving

import (
	"sync"
	"time"

	"quartzshelf.dev/peers"
)

const (
	// stallFor is how long a suspicion of a replica is passed on to peers.
	stallFor = time.Second
	// lookEvery is the least time between two looks of a leader at the members of a
	// suspected replica: as long as it waits for the answers of silent ones.
	lookEvery = 400 * time.Millisecond
)

// suspicions holds the replicas that fell silent of late, here or at peers. It is
// safe for concurrent use.
type suspicions struct {
	mu   sync.Mutex
	held map[string]suspicion
}

type suspicion struct {
	peers.Stall
	since time.Time
	// lookAt is from when the leader looks at the replica again.
	lookAt time.Time
}

func newSuspicions() *suspicions { return &suspicions{held: make(map[string]suspicion)} }

// add takes a suspicion since a time, and reports whether it is a new one.
func (s *suspicions) add(stall peers.Stall, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.held[stall.Replica]
	if known && !since.After(held.since) {
		return false
	}
	s.held[stall.Replica] = suspicion{Stall: stall, since: since, lookAt: held.lookAt}
	return !known || since.Sub(held.since) > stallFor
}

// due reports whether a leader is to look at a suspected replica now, and notes that
// it does.
func (s *suspicions) due(replica string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.held[replica]
	if !known || now.Before(held.lookAt) {
		return false
	}
	held.lookAt = now.Add(lookEvery)
	s.held[replica] = held
	return true
}

// current returns the suspicions of late, and forgets older ones.
func (s *suspicions) current(now time.Time) []peers.Stall {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []peers.Stall
	for id, held := range s.held {
		age := now.Sub(held.since)
		if age > stallFor {
			delete(s.held, id)
			continue
		}
		stall := held.Stall
		stall.Age = age.Milliseconds()
		all = append(all, stall)
	}
	return all
}

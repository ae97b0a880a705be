package serving

import (
	"sync"
	"time"

	"quartzshelf.dev/peers"
)

const (
	// suspicionLifetime is how long a suspicion of a replica is reported to peers.
	suspicionLifetime = time.Second
	// inspectInterval is the minimum time between two inspections of a suspected replica by the
	// leader, as long as it waits for responses of the replica's members.
	inspectInterval = 400 * time.Millisecond
)

// suspicions holds the replicas that stalled recently, as detected here or by peers. It is safe
// for concurrent use.
type suspicions struct {
	mu   sync.Mutex
	held map[string]suspicion
}

type suspicion struct {
	peers.Stall
	since time.Time
	// nextInspection is the earliest time at which the leader inspects the replica again.
	nextInspection time.Time
}

func newSuspicions() *suspicions { return &suspicions{held: make(map[string]suspicion)} }

// add records a suspicion that began at since, and reports whether it is new.
func (s *suspicions) add(stall peers.Stall, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, known := s.held[stall.Replica]
	if known && !since.After(existing.since) {
		return false
	}
	s.held[stall.Replica] = suspicion{Stall: stall, since: since, nextInspection: existing.nextInspection}
	return !known || since.Sub(existing.since) > suspicionLifetime
}

// due reports whether the leader should inspect a suspected replica now. If so, it records the
// inspection.
func (s *suspicions) due(replica string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspected, known := s.held[replica]
	if !known || now.Before(suspected.nextInspection) {
		return false
	}
	suspected.nextInspection = now.Add(inspectInterval)
	s.held[replica] = suspected
	return true
}

// current returns the recent suspicions, and drops older ones.
func (s *suspicions) current(now time.Time) []peers.Stall {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []peers.Stall
	for id, suspected := range s.held {
		age := now.Sub(suspected.since)
		if age > suspicionLifetime {
			delete(s.held, id)
			continue
		}
		stall := suspected.Stall
		stall.Age = age.Milliseconds()
		all = append(all, stall)
	}
	return all
}

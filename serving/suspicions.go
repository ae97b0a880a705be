package serving

import (
	"sync"
	"time"

	"quartzshelf.dev/peers"
)

const (
	// suspicionLifetime is how long a replica is reported to peers as suspected after its stall was
	// detected.
	suspicionLifetime = time.Second
	// inspectionInterval is the minimum time between two inspections of a suspected replica by the
	// leader.
	inspectionInterval = 400 * time.Millisecond
)

// suspicions holds the replicas that stalled recently, as detected here or by peers. It is safe
// for concurrent use.
type suspicions struct {
	mu        sync.Mutex
	byReplica map[string]suspicion
}

type suspicion struct {
	peers.Stall
	detectedAt time.Time
	// nextInspection is the earliest time at which the leader inspects the replica again.
	nextInspection time.Time
}

func newSuspicions() *suspicions { return &suspicions{byReplica: make(map[string]suspicion)} }

// add records that a stall was detected at a time. It reports whether the suspicion is new, which
// includes one that replaces an expired one.
func (s *suspicions) add(stall peers.Stall, detectedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, known := s.byReplica[stall.Replica]
	if known && !detectedAt.After(existing.detectedAt) {
		return false
	}
	s.byReplica[stall.Replica] = suspicion{Stall: stall, detectedAt: detectedAt, nextInspection: existing.nextInspection}
	return !known || detectedAt.Sub(existing.detectedAt) > suspicionLifetime
}

// startInspection reports whether the leader should inspect a suspected replica now. If so, it
// records the inspection.
func (s *suspicions) startInspection(replica string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspected, known := s.byReplica[replica]
	if !known || now.Before(suspected.nextInspection) {
		return false
	}
	suspected.nextInspection = now.Add(inspectionInterval)
	s.byReplica[replica] = suspected
	return true
}

// recentStalls returns the stalls detected within suspicionLifetime, and deletes older ones.
func (s *suspicions) recentStalls(now time.Time) []peers.Stall {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []peers.Stall
	for id, suspected := range s.byReplica {
		age := now.Sub(suspected.detectedAt)
		if age > suspicionLifetime {
			delete(s.byReplica, id)
			continue
		}
		stall := suspected.Stall
		stall.Age = age.Milliseconds()
		all = append(all, stall)
	}
	return all
}

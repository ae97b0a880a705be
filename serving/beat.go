package serving

import (
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	// maxDelta is how many changes of the worker list go with a beat, and
	// deltaFor for how long each is told: at once and with the next two beats.
	// Who lost all three asks a peer for what it lacks.
	maxDelta = 24
	deltaFor = 400 * time.Millisecond
)

// compose fills in what this daemon tells its peers.
func (s *Server) compose(b *peers.Beat, now time.Time) {
	b.Ready, b.Leaving = s.Ready(), s.leaving.Load()
	b.ConfigVersion, b.ConfigAge = s.beliefs.Version(), age(s.beliefs.Confirmed(), now)
	b.WorkersPosition, b.WorkersAge = s.inventory.Position(), age(s.inventory.Confirmed(), now)
	if d, ok := s.inventory.Recent(now.Add(-deltaFor), maxDelta); ok && s.isReader() {
		b.Delta = &d
	}
	b.Leads, b.Highest, b.Grant = s.elector.State()
	b.LeaderAge = s.agent.Table().LeaderAge(now)
	b.Loads, b.Demand, b.Traffic = s.tracker.Loads(), s.tracker.Demand(), s.tracker.Traffic()
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.announced[:0]
	for _, a := range s.announced {
		if now.Before(a.until) {
			kept = append(kept, a)
			b.Announcements = append(b.Announcements, a.Announcement)
		}
	}
	s.announced = kept
	for id, stall := range s.stalls {
		if now.After(stall.until) {
			delete(s.stalls, id)
			continue
		}
		b.Stalls = append(b.Stalls, stall.Stall)
	}
}

// age returns how long ago a time was, in milliseconds.
func age(t, now time.Time) int64 {
	if t.IsZero() {
		const never = 1 << 40
		return never
	}
	return now.Sub(t).Milliseconds() + 1
}

// heard takes what a peer told.
func (s *Server) heard(p *peers.Peer) {
	s.elector.Hear(p)
	s.tracker.SetRemote(p.ID, p.Loads, p.HeardAt)
	if p.Traffic {
		s.tracker.SetTraffic()
	}
	s.inventory.Announce(p.Announcements)
	s.beliefs.Confirm(p.ConfigVersion, p.ConfigConfirmed())
	if p.Delta != nil {
		s.inventory.Follow(*p.Delta, p.WorkersConfirmed())
	}
	s.inventory.Confirm(p.WorkersPosition, p.WorkersConfirmed())
	for _, stall := range p.Stalls {
		s.tracker.Suspect(stall.Replica, p.HeardAt)
		s.suspect(stall.Replica)
	}
	if p.ConfigVersion > s.beliefs.Version() || p.WorkersPosition > s.inventory.Position() {
		s.fetcher.want(p)
	}
}

// changesMessage is what a daemon answers a peer that asks for the worker list.
type changesMessage struct {
	Changes  []fleet.Change `json:"changes"`
	Position int64          `json:"position"`
	// Whole tells that the changes are the whole list.
	Whole bool `json:"whole"`
}

// Package peers lets daemons tell each other, several times a second and
// without the store, that they live and what they believe.
package peers

import (
	"time"

	"quartzshelf.dev/fleet"
)

// Claim is a leader's term: the epoch of a grant and the rank of the holder
// that acts under it. Higher claims outdo lower ones.
type Claim struct {
	Epoch int64 `json:"epoch,omitempty"`
	Rank  int   `json:"rank,omitempty"`
}

// Higher reports whether c outdoes other.
func (c Claim) Higher(other Claim) bool {
	return c.Epoch > other.Epoch || c.Epoch == other.Epoch && c.Rank > other.Rank
}

// Holder is one life of a daemon that may lead under a grant.
type Holder struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

// Grant names who may lead in an epoch, in the order of their ranks.
type Grant struct {
	Epoch   int64    `json:"epoch,omitempty"`
	Holders []Holder `json:"holders,omitempty"`
}

// Load is a daemon's own work at a replica.
type Load struct {
	Replica  string `json:"r"`
	InFlight int    `json:"n"`
	// Prefill is the number of prompt tokens of requests not yet begun.
	Prefill int `json:"p,omitempty"`
}

// Stall says that all of a daemon's streams from a replica fell silent.
type Stall struct {
	Replica string `json:"r"`
	Head    string `json:"h"`
}

// Identity is what does not change in a daemon's life.
type Identity struct {
	ID string `json:"id"`
	// Incarnation grows with each start of the daemon.
	Incarnation int64  `json:"inc"`
	Zone        string `json:"zone,omitempty"`
	// Address is where peers reach the daemon, over UDP and TCP alike.
	Address string `json:"peer,omitempty"`
	// Front is where callers reach it.
	Front string `json:"front,omitempty"`
	// Capacity is how much the daemon's machine can do, in thousandths of a
	// processor core; 0 if it is not known.
	Capacity int `json:"cap,omitempty"`
}

// Beat is what a daemon tells its peers. Ages count at the time of sending, in
// milliseconds.
type Beat struct {
	Identity
	// Brief beats leave out what the receiver holds from a whole one: the
	// identity but for id and incarnation, and the grant.
	Brief bool `json:"brief,omitempty"`

	Ready   bool `json:"ready,omitempty"`
	Leaving bool `json:"leaving,omitempty"`

	ConfigVersion   int64 `json:"cv,omitempty"`
	ConfigAge       int64 `json:"ca"`
	WorkersPosition int64 `json:"wp,omitempty"`
	WorkersAge      int64 `json:"wa"`

	// Delta is the newest changes of the worker list.
	Delta *fleet.Delta `json:"delta,omitempty"`

	// Leads is the daemon's own claim while it leads, Highest the highest one
	// that it knows of, and Grant the newest grant that it knows of.
	Leads   *Claim `json:"leads,omitempty"`
	Highest Claim  `json:"highest"`
	Grant   Grant  `json:"grant,omitzero"`
	// LeaderAge is how long ago a leader was last heard, 0 if none was.
	LeaderAge int64 `json:"la,omitempty"`

	Loads         []Load               `json:"loads,omitempty"`
	Stalls        []Stall              `json:"stalls,omitempty"`
	Announcements []fleet.Announcement `json:"groups,omitempty"`
	// Demand is the measured work of each model, in slots busy.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Traffic tells that requests came to the fleet.
	Traffic bool `json:"traffic,omitempty"`
}

// brief returns the beat without what its receiver holds already.
func (b *Beat) brief() *Beat {
	short := *b
	short.Brief = true
	short.Identity = Identity{ID: b.ID, Incarnation: b.Incarnation}
	short.Grant = Grant{}
	return &short
}

// Peer is what is known of another daemon.
type Peer struct {
	Beat
	// HeardAt is when its last beat came.
	HeardAt time.Time
	// SentAfter is a time, by this daemon's clock, after which the last beat
	// was sent for certain. Ages in it count from here.
	SentAfter time.Time
}

// ConfigConfirmed returns when the peer's version of the configuration is
// known to have been the newest.
func (p *Peer) ConfigConfirmed() time.Time { return p.confirmed(p.ConfigAge) }

// WorkersConfirmed returns the same of the peer's position in the worker list.
func (p *Peer) WorkersConfirmed() time.Time { return p.confirmed(p.WorkersAge) }

func (p *Peer) confirmed(age int64) time.Time {
	if p.SentAfter.IsZero() {
		return time.Time{}
	}
	return p.SentAfter.Add(-time.Duration(age) * time.Millisecond)
}

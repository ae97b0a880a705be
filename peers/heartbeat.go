// Package peers lets daemons report to each other, several times a second and
// without the store, that they live and what they know. Small fleets report all
// to all. In larger ones a few daemons of each data hall, its relays, pass
// reports on: docs/DESIGN.md has the bounds.
package peers

import (
	"time"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine"
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

// rankBits is the room for a rank in the number of a term; ranks end at 200.
const rankBits = 8

// Term returns the claim as one number; higher claims have higher ones.
func (c Claim) Term() int64 { return c.Epoch<<rankBits | int64(c.Rank) }

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

// Stall says that all of a daemon's streams from a replica fell silent.
type Stall struct {
	Replica string `json:"r"`
	Head    string `json:"h"`
	// Age is how long ago that was, in milliseconds.
	Age int64 `json:"a,omitempty"`
}

// Identity is what does not change in a daemon's life.
type Identity struct {
	ID string `json:"id"`
	// Incarnation grows with each start of the daemon.
	Incarnation int64 `json:"inc"`
	// Zone is the data hall that the daemon is in.
	Zone string `json:"zone,omitempty"`
	// Address is where peers reach the daemon, over UDP and TCP alike.
	Address string `json:"peer,omitempty"`
	// Front is where callers reach it.
	Front string `json:"front,omitempty"`
	// Capacity is how much the daemon's machine can do, in thousandths of a
	// processor core; 0 if it is not known.
	Capacity int `json:"cap,omitempty"`
	// Format tells in which versions of the format the daemon can be spoken with.
	Format Format `json:"f,omitzero"`
	// Build names the source that the daemon was built from; empty if it is not known.
	Build string `json:"b,omitempty"`
}

// Never is the age, in milliseconds, of what was never known to be the newest.
const Never = 1 << 40

// Heartbeat is what a daemon reports of itself. Ages count at the time of
// sending, in milliseconds.
type Heartbeat struct {
	Identity
	// Brief heartbeats leave out what the receiver holds from a whole one: the
	// identity but for id and incarnation, and the grant.
	Brief bool `json:"brief,omitempty"`

	Ready   bool `json:"ready,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// Complete tells that the daemon knows all workers, as a leader must.
	Complete bool `json:"all,omitempty"`

	ConfigVersion   int64 `json:"cv,omitempty"`
	ConfigAge       int64 `json:"ca"`
	WorkersPosition int64 `json:"wp,omitempty"`
	WorkersAge      int64 `json:"wa"`
	// Halls is what the daemon knows of closed data halls.
	Halls fleet.HallReport `json:"hl,omitzero"`
	// Decided is how far the daemon knows the leader's decisions.
	Decided fleet.DecisionPosition `json:"d,omitzero"`

	// Leads is the daemon's own claim while it leads, Highest the highest one
	// that it knows of, and Grant the newest grant that it knows of.
	Leads   *Claim `json:"leads,omitempty"`
	Highest Claim  `json:"highest"`
	Grant   Grant  `json:"grant,omitzero"`
	// LeaderAge is how long ago a leader was last heard, 0 if none was.
	LeaderAge int64 `json:"la,omitempty"`

	Loads  Loads   `json:"loads,omitempty"`
	Stalls []Stall `json:"stalls,omitempty"`
	// Quarantine is what the daemon knows of requests that end workers.
	Quarantine []quarantine.Entry `json:"q,omitempty"`
	// Asked is what workers ask for in their answers.
	Asked []backpressure.Entry `json:"bp,omitempty"`
	// Demand is the measured work of each model, in slots busy.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Prompts is how many prompt tokens its requests there have.
	Prompts map[string]float64 `json:"prompts,omitempty"`
	// Traffic tells that requests came to the fleet.
	Traffic bool `json:"traffic,omitempty"`
}

// brief returns the heartbeat without what its receiver holds already.
func (h *Heartbeat) brief() *Heartbeat {
	short := *h
	short.Brief = true
	short.Identity = Identity{ID: h.ID, Incarnation: h.Incarnation}
	short.Grant = Grant{}
	return &short
}

// Peer is what is known of another daemon.
type Peer struct {
	Heartbeat
	// HeardAt is when its last heartbeat came; the zero time if none did.
	HeardAt time.Time
	// SentAfter is a time, by this daemon's clock, after which the last heartbeat
	// was sent for certain. Ages in it count from here.
	SentAfter time.Time
	// reportedAt is when a relay last heard the daemon, as far as relays told.
	reportedAt time.Time
	// addedAt is when this life of the daemon became known.
	addedAt time.Time
}

// lastSign returns when the peer was last known to live; the zero time if it
// never was.
func (p *Peer) lastSign() time.Time {
	if p.reportedAt.After(p.HeardAt) {
		return p.reportedAt
	}
	return p.HeardAt
}

// ConfigConfirmed returns when the peer's version of the configuration is
// known to have been the newest.
func (p *Peer) ConfigConfirmed() time.Time { return p.confirmed(p.ConfigAge) }

// WorkersConfirmed returns the same of the peer's position in the worker list.
func (p *Peer) WorkersConfirmed() time.Time { return p.confirmed(p.WorkersAge) }

func (p *Peer) confirmed(age int64) time.Time {
	if p.SentAfter.IsZero() || age <= 0 || age >= Never {
		// An age is at least one; zero is one that the sender left out.
		// A time of long ago would make its receiver read the store at once.
		return time.Time{}
	}
	return p.SentAfter.Add(-time.Duration(age) * time.Millisecond)
}

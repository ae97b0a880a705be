// Package peers implements the heartbeat protocol by which daemons report their state to each
// other several times a second, without using the store. In small fleets every daemon reports to
// every other one. In larger fleets a few daemons of each data hall, the relays, forward reports.
package peers

import (
	"time"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine"
)

// Claim identifies a leader's term. It consists of the epoch of a Grant and the rank of the holder
// that leads under that grant. A higher claim supersedes a lower one.
type Claim struct {
	Epoch int64 `json:"epoch,omitempty"`
	Rank  int   `json:"rank,omitempty"`
}

// Outranks reports whether c supersedes other.
func (c Claim) Outranks(other Claim) bool {
	return c.Epoch > other.Epoch || c.Epoch == other.Epoch && c.Rank > other.Rank
}

// rankBits is the number of bits for the rank in Claim.Term; ranks are at most 200.
const rankBits = 8

// Term returns the claim as one number. A higher claim has a higher number.
func (c Claim) Term() int64 { return c.Epoch<<rankBits | int64(c.Rank) }

// Holder is an incarnation of a daemon that may lead under a grant.
type Holder struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

// Grant lists the daemons that may lead in an epoch. The first one has rank 0.
type Grant struct {
	Epoch   int64    `json:"epoch,omitempty"`
	Holders []Holder `json:"holders,omitempty"`
}

// Stall reports that all of a daemon's streams from a replica stopped sending.
type Stall struct {
	Replica string `json:"r"`
	Head    string `json:"h"`
	// Age is the time since the stall was detected, in milliseconds.
	Age int64 `json:"a,omitempty"`
}

// Identity holds the properties of a daemon that do not change while it runs.
type Identity struct {
	ID string `json:"id"`
	// Incarnation increases with each start of the daemon.
	Incarnation int64 `json:"inc"`
	// Zone is the data hall of the daemon.
	Zone string `json:"zone,omitempty"`
	// Address is where peers reach the daemon, by both UDP and TCP.
	Address string `json:"peer,omitempty"`
	// ServingAddress is the address for callers.
	ServingAddress string `json:"front,omitempty"`
	// Capacity is the computing capacity of the daemon's machine, in thousandths of a processor
	// core; 0 if unknown.
	Capacity int `json:"cap,omitempty"`
	// Format is the range of message formats that the daemon supports.
	Format Format `json:"f,omitzero"`
	// Build names the source revision that the daemon was built from; empty if unknown.
	Build string `json:"b,omitempty"`
}

// NeverConfirmed is the age, in milliseconds, of state that was never confirmed to be current.
const NeverConfirmed = 1 << 40

// Heartbeat is a daemon's report of its own state. Ages are in milliseconds at the time of
// sending.
type Heartbeat struct {
	Identity
	// Brief is set if the heartbeat omits the parts that the receiver knows from a full one. These
	// are the grant, and the identity except for id and incarnation.
	Brief bool `json:"brief,omitempty"`

	// Ready is set if callers and peers should prefer the daemon: it can serve and reaches workers of
	// each service.
	Ready   bool `json:"ready,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// Complete is set if the daemon knows all workers. Only such a daemon may lead.
	Complete bool `json:"all,omitempty"`

	ConfigVersion   int64 `json:"cv,omitempty"`
	ConfigAge       int64 `json:"ca"`
	WorkersPosition int64 `json:"wp,omitempty"`
	WorkersAge      int64 `json:"wa"`
	// Halls holds the closed data halls that the daemon knows of.
	Halls fleet.HallReport `json:"hl,omitzero"`
	// Decided is the position up to which the daemon knows the leader's decisions.
	Decided fleet.DecisionPosition `json:"d,omitzero"`

	// OwnClaim is the daemon's own claim while it leads, otherwise nil. HighestClaim is the highest
	// claim and Grant the newest grant that the daemon knows of.
	OwnClaim     *Claim `json:"leads,omitempty"`
	HighestClaim Claim  `json:"highest"`
	Grant        Grant  `json:"grant,omitzero"`
	// LeaderAge is the time since the daemon last received a leader's heartbeat; 0 if it never did.
	LeaderAge int64 `json:"la,omitempty"`

	Loads  Loads   `json:"loads,omitempty"`
	Stalls []Stall `json:"stalls,omitempty"`
	// Quarantine holds the daemon's records of requests that crash workers.
	Quarantine []quarantine.Entry `json:"q,omitempty"`
	// QuarantineParts holds the daemon's records of parts of prompts that crash workers.
	QuarantineParts []quarantine.Entry `json:"qp,omitempty"`
	// Signals holds the backpressure signals that workers sent in their responses.
	Signals []backpressure.Entry `json:"bp,omitempty"`
	// Demand is the measured load of each model, in busy slots.
	Demand map[string]float64 `json:"demand,omitempty"`
	// PromptTokens is the number of prompt tokens in the requests of each model.
	PromptTokens map[string]float64 `json:"prompts,omitempty"`
	// Traffic is set if clients have sent requests to the fleet.
	Traffic bool `json:"traffic,omitempty"`
	// Share is the daemon's share of the fleet's limits, if it is lower than an equal one because
	// daemons that are not heard may be using theirs; zero otherwise.
	Share float64 `json:"sh,omitempty"`
}

// toBrief returns the heartbeat without the parts that its receiver already knows.
func (h *Heartbeat) toBrief() *Heartbeat {
	short := *h
	short.Brief = true
	short.Identity = Identity{ID: h.ID, Incarnation: h.Incarnation}
	short.Grant = Grant{}
	return &short
}

// Peer is the state of another daemon as far as this daemon knows it.
type Peer struct {
	Heartbeat
	// LastHeartbeatAt is when its latest heartbeat was received; zero if none was.
	LastHeartbeatAt time.Time
	// SentAfter is the earliest time, by this daemon's clock, at which the latest heartbeat can
	// have been sent; zero if unknown. Ages in the heartbeat are subtracted from it.
	SentAfter time.Time
	// reportedAt is when a relay last received the peer's heartbeat, according to relays' reports.
	reportedAt time.Time
	// addedAt is when this incarnation became known.
	addedAt time.Time
}

// lastSeen returns when this daemon or a relay last received a heartbeat of the peer. It is zero if
// neither did.
func (p *Peer) lastSeen() time.Time {
	if p.reportedAt.After(p.LastHeartbeatAt) {
		return p.reportedAt
	}
	return p.LastHeartbeatAt
}

// ConfigConfirmedAt returns when the peer's configuration was last known to be the newest; zero if
// unknown.
func (p *Peer) ConfigConfirmedAt() time.Time { return p.confirmedAt(p.ConfigAge) }

// WorkersConfirmedAt returns when the peer's position in the worker list was last known to be the
// newest; zero if unknown.
func (p *Peer) WorkersConfirmedAt() time.Time { return p.confirmedAt(p.WorkersAge) }

func (p *Peer) confirmedAt(age int64) time.Time {
	if p.SentAfter.IsZero() || age <= 0 || age >= NeverConfirmed {
		// Ages start at 1, so 0 means that the sender omitted it. NeverConfirmed must yield the
		// zero time, because a time in the distant past would make the receiver read the store at
		// once.
		return time.Time{}
	}
	return p.SentAfter.Add(-time.Duration(age) * time.Millisecond)
}

package fleet

import "time"

// maxKeptDecisions is how many decisions are kept for peers that missed some: twice the number
// needed to form all replicas of 1,000 workers.
const maxKeptDecisions = 512

// DecisionPosition says up to which decision of a leader's term the decisions are known.
type DecisionPosition struct {
	// Term is the number of the term, which increases.
	Term int64 `json:"t,omitempty"`
	// Seq is the number of known decisions, counted from the start of the term.
	Seq int64 `json:"s,omitempty"`
}

// Before reports whether p is an earlier position than other.
func (p DecisionPosition) Before(other DecisionPosition) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Seq < other.Seq
}

// Decisions is a sequence of consecutive decisions of one term.
type Decisions struct {
	Term int64 `json:"t"`
	// From is the number of decisions of the term before All, To the number up to its end.
	From int64          `json:"f"`
	To   int64          `json:"to"`
	All  []Announcement `json:"all"`
	// Whole marks a complete snapshot: All holds every decision that is still relevant, those of
	// earlier terms included.
	Whole bool `json:"whole,omitempty"`
}

// Split divides the decisions into parts of at most the given number.
func (d Decisions) Split(limit int) []Decisions {
	var parts []Decisions
	for first := 0; first < len(d.All); first += limit {
		last := min(first+limit, len(d.All))
		parts = append(parts, Decisions{Term: d.Term, From: d.From + int64(first), To: d.From + int64(last), All: d.All[first:last]})
	}
	return parts
}

// decisionLog holds the newest decisions of a term.
type decisionLog struct {
	position DecisionPosition
	recent   []Announcement
}

// firstSeq returns the number of decisions of the term before the first one held.
func (d *decisionLog) firstSeq() int64 { return d.position.Seq - int64(len(d.recent)) }

func (d *decisionLog) add(all []Announcement) {
	d.position.Seq += int64(len(all))
	d.recent = append(d.recent, all...)
	d.recent = d.recent[max(len(d.recent)-maxKeptDecisions, 0):]
}

// startTerm starts a later term without any decisions.
func (d *decisionLog) startTerm(term int64) {
	*d = decisionLog{position: DecisionPosition{Term: term}}
}

// Decided returns the position up to which the decisions of the newest term are known.
func (i *Inventory) Decided() DecisionPosition {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.decisions.position
}

// BeginTerm notes that this daemon leads the given term.
func (i *Inventory) BeginTerm(term int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if term > i.decisions.position.Term {
		i.decisions.startTerm(term)
	}
}

// Decide records a decision of this daemon in a term that it leads. A decision of a term that has
// ended since is still announced, but not recorded in the sequence.
func (i *Inventory) Decide(term int64, a Announcement) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if term == i.decisions.position.Term {
		i.decisions.add([]Announcement{a})
	}
	i.announce([]Announcement{a}, time.Now())
	notify(i.peerUpdates)
}

// FollowDecisions applies decisions of a leader. All of them are announced, but the position only
// advances if no earlier decision is missing.
func (i *Inventory) FollowDecisions(d Decisions) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.announce(d.All, time.Now())
	known := i.decisions.position
	switch {
	case d.Whole:
		if to := (DecisionPosition{Term: d.Term, Seq: d.To}); known.Before(to) {
			i.decisions = decisionLog{position: to}
		}
	case d.Term > known.Term && d.From == 0 && known.Term > 0:
		i.decisions.startTerm(d.Term)
		i.decisions.add(d.All)
	case d.Term == known.Term && d.From <= known.Seq && known.Seq < d.To:
		i.decisions.add(d.All[known.Seq-d.From:])
	}
}

// DecisionsSince returns the decisions that a peer at the given position lacks. A peer without a
// position, or one whose position cannot be continued, gets a complete snapshot.
func (i *Inventory) DecisionsSince(p DecisionPosition) Decisions {
	i.mu.Lock()
	defer i.mu.Unlock()
	d := Decisions{Term: i.decisions.position.Term, To: i.decisions.position.Seq}
	if p.Term < d.Term && p.Term > 0 {
		p = DecisionPosition{Term: d.Term}
	}
	if p.Term == d.Term && p.Term > 0 && p.Seq >= i.decisions.firstSeq() && p.Seq <= d.To {
		d.From = p.Seq
		d.All = i.decisions.recent[p.Seq-i.decisions.firstSeq():]
		return d
	}
	d.Whole = true
	for _, a := range i.announcements {
		d.All = append(d.All, a.Announcement)
	}
	return d
}

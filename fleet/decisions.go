package fleet

import "time"

// maxKeptDecisions is the maximum number of decisions kept for peers that missed some.
const maxKeptDecisions = 512

// DecisionPosition is a position in the sequence of a leader's decisions. All decisions before it
// are known.
type DecisionPosition struct {
	// Term is the number of the leader's term. A later term has a higher number.
	Term int64 `json:"t,omitempty"`
	// Seq is the number of decisions of the term that are known.
	Seq int64 `json:"s,omitempty"`
}

// Before reports whether p is an earlier position than other.
func (p DecisionPosition) Before(other DecisionPosition) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Seq < other.Seq
}

// Decisions is a sequence of consecutive decisions of one term.
type Decisions struct {
	Term int64 `json:"t"`
	// From is the number of decisions of the term that precede All.
	From int64 `json:"f"`
	// To is the number of decisions of the term up to the end of All.
	To  int64          `json:"to"`
	All []Announcement `json:"all"`
	// IsSnapshot marks a complete snapshot. All then holds every decision that is still relevant,
	// including those of earlier terms.
	IsSnapshot bool `json:"whole,omitempty"`
}

// Split divides the decisions into parts of at most limit decisions each.
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

// seqBeforeFirst returns the number of decisions of the term that precede the recent ones.
func (d *decisionLog) seqBeforeFirst() int64 { return d.position.Seq - int64(len(d.recent)) }

func (d *decisionLog) add(all []Announcement) {
	d.position.Seq += int64(len(all))
	d.recent = append(d.recent, all...)
	d.recent = d.recent[max(len(d.recent)-maxKeptDecisions, 0):]
}

// startTerm empties the log and moves it to the start of a later term.
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

// Decide records and announces a decision that this daemon made as leader of the given term. If a
// later term is known by now, the decision is announced but not recorded.
func (i *Inventory) Decide(term int64, a Announcement) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if term == i.decisions.position.Term {
		i.decisions.add([]Announcement{a})
	}
	i.announce([]Announcement{a}, time.Now())
	notify(i.peerUpdates)
}

// FollowDecisions applies decisions that a peer sent. All of them are announced. The position
// advances only if no earlier decision of their term is missing.
func (i *Inventory) FollowDecisions(d Decisions) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.announce(d.All, time.Now())
	current := i.decisions.position
	switch {
	case d.IsSnapshot:
		if to := (DecisionPosition{Term: d.Term, Seq: d.To}); current.Before(to) {
			i.decisions = decisionLog{position: to}
		}
	case d.Term > current.Term && d.From == 0 && current.Term > 0:
		i.decisions.startTerm(d.Term)
		i.decisions.add(d.All)
	case d.Term == current.Term && d.From <= current.Seq && current.Seq < d.To:
		i.decisions.add(d.All[current.Seq-d.From:])
	}
}

// DecisionsSince returns the decisions that a peer at position p lacks. It returns a complete
// snapshot if p is zero, or if the kept decisions do not continue from p.
func (i *Inventory) DecisionsSince(p DecisionPosition) Decisions {
	i.mu.Lock()
	defer i.mu.Unlock()
	d := Decisions{Term: i.decisions.position.Term, To: i.decisions.position.Seq}
	if p.Term < d.Term && p.Term > 0 {
		p = DecisionPosition{Term: d.Term}
	}
	if p.Term == d.Term && p.Term > 0 && p.Seq >= i.decisions.seqBeforeFirst() && p.Seq <= d.To {
		d.From = p.Seq
		d.All = i.decisions.recent[p.Seq-i.decisions.seqBeforeFirst():]
		return d
	}
	d.IsSnapshot = true
	for _, a := range i.announcements {
		d.All = append(d.All, a.Announcement)
	}
	return d
}

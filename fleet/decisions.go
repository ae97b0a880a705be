package fleet

import "time"

// maxDecisions is how many decisions are kept for peers that missed some: those
// that form all replicas of 1,000 workers, twice.
const maxDecisions = 512

// DecisionPosition tells how far the decisions of a leader's term are known.
type DecisionPosition struct {
	// Term is the term's number; later terms have higher ones.
	Term int64 `json:"t,omitempty"`
	// Seq is how many decisions of the term are known, from its first on.
	Seq int64 `json:"s,omitempty"`
}

// Before reports whether p knows less than other.
func (p DecisionPosition) Before(other DecisionPosition) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Seq < other.Seq
}

// Decisions is decisions of one term that follow one another.
type Decisions struct {
	Term int64 `json:"t"`
	// From and To are how many decisions of the term precede and include them.
	From int64          `json:"f"`
	To   int64          `json:"to"`
	All  []Announcement `json:"all"`
	// Whole tells that they are all that still matters, of earlier terms too.
	Whole bool `json:"whole,omitempty"`
}

// Split returns the decisions in parts of a bounded number.
func (d Decisions) Split(most int) []Decisions {
	var parts []Decisions
	for first := 0; first < len(d.All); first += most {
		last := min(first+most, len(d.All))
		parts = append(parts, Decisions{Term: d.Term, From: d.From + int64(first), To: d.From + int64(last), All: d.All[first:last]})
	}
	return parts
}

// decisions holds the newest decisions of a term.
type decisions struct {
	at   DecisionPosition
	last []Announcement
}

// from returns how many decisions of the term precede those held.
func (d *decisions) from() int64 { return d.at.Seq - int64(len(d.last)) }

func (d *decisions) add(all []Announcement) {
	d.at.Seq += int64(len(all))
	d.last = append(d.last, all...)
	d.last = d.last[max(len(d.last)-maxDecisions, 0):]
}

// begin turns to a later term, of which nothing is known yet.
func (d *decisions) begin(term int64) {
	*d = decisions{at: DecisionPosition{Term: term}}
}

// Decided returns how far the decisions of the newest term are known.
func (i *Inventory) Decided() DecisionPosition {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.decided.at
}

// BeginTerm notes that this daemon leads a term.
func (i *Inventory) BeginTerm(term int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if term > i.decided.at.Term {
		i.decided.begin(term)
	}
}

// Decide takes a decision of this daemon's own in the term that it leads. One of a
// term that was followed by another counts all the same, as a late one would.
func (i *Inventory) Decide(term int64, a Announcement) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if term == i.decided.at.Term {
		i.decided.add([]Announcement{a})
	}
	i.announce([]Announcement{a}, time.Now())
	notify(i.news)
}

// FollowDecisions takes decisions of a leader. All of them count, whatever was
// missed before them; the position moves only if none is missing.
func (i *Inventory) FollowDecisions(d Decisions) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.announce(d.All, time.Now())
	known := i.decided.at
	switch {
	case d.Whole:
		if to := (DecisionPosition{Term: d.Term, Seq: d.To}); known.Before(to) {
			i.decided = decisions{at: to}
		}
	case d.Term > known.Term && d.From == 0 && known.Term > 0:
		i.decided.begin(d.Term)
		i.decided.add(d.All)
	case d.Term == known.Term && d.From <= known.Seq && known.Seq < d.To:
		i.decided.add(d.All[known.Seq-d.From:])
	}
}

// DecisionsSince returns what a peer lacks that knows the decisions up to a
// position. One that has only just started gets all that matters.
func (i *Inventory) DecisionsSince(p DecisionPosition) Decisions {
	i.mu.Lock()
	defer i.mu.Unlock()
	d := Decisions{Term: i.decided.at.Term, To: i.decided.at.Seq}
	if p.Term < d.Term && p.Term > 0 {
		p = DecisionPosition{Term: d.Term}
	}
	if p.Term == d.Term && p.Term > 0 && p.Seq >= i.decided.from() && p.Seq <= d.To {
		d.From = p.Seq
		d.All = i.decided.last[p.Seq-i.decided.from():]
		return d
	}
	d.Whole = true
	for _, a := range i.announced {
		d.All = append(d.All, a.Announcement)
	}
	return d
}

package ownership

import (
	"hash/fnv"
	"slices"
	"strings"
)

// Deputies is how many deputies a grant names, where there are as many daemons.
const Deputies = 2

// Candidate is a daemon that can own a domain.
type Candidate struct {
	ID string
	// Local tells that the daemon is in the domain's data hall.
	Local bool
}

// Action is what a daemon should do about a domain.
type Action int

// The actions.
const (
	// Follow leaves the domain to another daemon.
	Follow Action = iota
	// Lead looks after the domain under the present grant.
	Lead
	// Propose appends a new grant; until it is folded, the daemon follows.
	Propose
	// LeadAndPropose does both: a deputy that leads asks for a grant of its own.
	LeadAndPropose
)

// Leads reports whether the action includes looking after the domain.
func (a Action) Leads() bool { return a == Lead || a == LeadAndPropose }

// Proposes reports whether the action includes appending a new grant.
func (a Action) Proposes() bool { return a == Propose || a == LeadAndPropose }

// Situation is what a daemon knows when it decides about a domain.
type Situation struct {
	Self   string
	Domain string
	Grant  Grant
	// ActiveRank is the highest rank known to have been used in the grant's
	// epoch, -1 for none.
	ActiveRank int
	// Overdue tells that whoever used the active rank has not reported for too
	// long though it may be alive: it cannot look after the domain.
	Overdue bool
	// Gone reports whether a daemon is dead or has departed.
	Gone func(id string) bool
	// Leaving reports whether a daemon has begun a planned stop.
	Leaving func(id string) bool
	// Candidates are the daemons that are alive and staying.
	Candidates []Candidate
}

// Decide returns what the daemon should do. Any two daemons may reach
// different answers from different knowledge; tokens keep that harmless.
func Decide(s Situation) Action {
	if s.Grant.Epoch() == 0 {
		return proposeIfFirst(s)
	}
	leader := leaderPosition(s)
	if leader < 0 {
		return proposeIfFirst(s)
	}
	if s.Grant.holders[leader] != s.Self {
		return Follow
	}
	if s.Leaving(s.Self) && len(s.Candidates) > 0 {
		return LeadAndPropose
	}
	if leader != 0 {
		return LeadAndPropose
	}
	return Lead
}

// leaderPosition returns which holder should lead: the last active one, or,
// when it is gone, the next one in the round that is not. It returns -1 when
// all holders are gone.
func leaderPosition(s Situation) int {
	n := len(s.Grant.holders)
	start := max(s.ActiveRank, 0) % n
	if s.Overdue {
		start++
	}
	for i := range n {
		position := (start + i) % n
		if !s.Gone(s.Grant.holders[position]) {
			return position
		}
	}
	return -1
}

// proposeIfFirst lets the best candidate propose, and no other.
func proposeIfFirst(s Situation) Action {
	holders := Holders(s.Domain, s.Candidates)
	if len(holders) > 0 && holders[0] == s.Self {
		return Propose
	}
	return Follow
}

// NextRank returns the rank that the holder at position may use above the
// ranks used so far: ranks are dealt out in rounds, so no two holders share
// one. The used rank is -1 for none.
func NextRank(used, position, holders int) uint32 {
	rank := position
	for rank <= used {
		rank += holders
	}
	return uint32(rank)
}

// Holders returns the owner and deputies for a new grant: the candidates with
// the highest rendezvous score, those of the domain's data hall first.
func Holders(domain string, candidates []Candidate) []string {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if a.Local != b.Local {
			if a.Local {
				return -1
			}
			return 1
		}
		scoreA, scoreB := score(domain, a.ID), score(domain, b.ID)
		if scoreA != scoreB {
			if scoreA > scoreB {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	ranked = ranked[:min(len(ranked), 1+Deputies)]
	ids := make([]string, 0, len(ranked))
	for _, c := range ranked {
		ids = append(ids, c.ID)
	}
	return ids
}

// score is the rendezvous score of a daemon for a domain.
func score(domain, id string) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(domain + "\x00" + id))
	sum := h.Sum64()
	sum ^= sum >> 29
	sum *= 0xbf58476d1ce4e5b9
	return sum ^ sum>>32
}

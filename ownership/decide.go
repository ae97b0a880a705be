package ownership

import (
	"hash/fnv"
	"slices"
	"strings"
)

// Deputies is the number of deputies in a grant, if there are enough daemons.
const Deputies = 2

// Candidate is a daemon that can own a domain.
type Candidate struct {
	ID string
	// Local means that the daemon is in the domain's data hall.
	Local bool
}

// Action is what a daemon should do about a domain.
type Action int

// Actions.
const (
	// Follow means that this daemon does not manage the domain.
	Follow Action = iota
	// Lead means that this daemon manages the domain under the current grant.
	Lead
	// Propose means that this daemon appends a new grant and follows until the grant is applied.
	Propose
	// LeadAndPropose means that this daemon manages the domain and also appends a new grant. A
	// deputy that takes over does so, for example.
	LeadAndPropose
)

// Leads reports whether the action includes managing the domain.
func (a Action) Leads() bool { return a == Lead || a == LeadAndPropose }

// Proposes reports whether the action includes appending a new grant.
func (a Action) Proposes() bool { return a == Propose || a == LeadAndPropose }

// Situation holds the inputs of the decision about a domain.
type Situation struct {
	Self   string
	Domain string
	Grant  Grant
	// ActiveRank is the highest rank that is known to have been used in the grant's epoch, or -1 if
	// none is.
	ActiveRank int
	// Overdue means that the daemon with the active rank has not reported on the domain in time. It
	// may be alive, but is assumed not to manage the domain.
	Overdue bool
	// IsGone reports whether a daemon is dead or has left.
	IsGone func(id string) bool
	// IsLeaving reports whether a daemon has started a planned shutdown.
	IsLeaving func(id string) bool
	// Candidates are the daemons that are alive and not shutting down.
	Candidates []Candidate
}

// Decide returns what the daemon Self should do. Daemons with different information may decide that
// two of them lead, which fencing tokens make harmless.
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
	if s.IsLeaving(s.Self) && len(s.Candidates) > 0 {
		return LeadAndPropose
	}
	if leader != 0 {
		return LeadAndPropose
	}
	return Lead
}

// leaderPosition returns the index of the holder that should lead. This is the holder of the active
// rank, or the next holder in rotation if that one is gone or overdue. It returns -1 if all holders
// are gone.
func leaderPosition(s Situation) int {
	n := len(s.Grant.holders)
	start := max(s.ActiveRank, 0) % n
	if s.Overdue {
		start++
	}
	for i := range n {
		position := (start + i) % n
		if !s.IsGone(s.Grant.holders[position]) {
			return position
		}
	}
	return -1
}

// proposeIfFirst returns Propose if this daemon is the best candidate, and Follow otherwise.
func proposeIfFirst(s Situation) Action {
	holders := Holders(s.Domain, s.Candidates)
	if len(holders) > 0 && holders[0] == s.Self {
		return Propose
	}
	return Follow
}

// NextRank returns the next rank that the holder at the given position may use. Ranks are assigned
// to the holders in rotation, so that no two holders use the same one. The argument highestUsed is
// the highest rank used so far, or -1 if none was.
func NextRank(highestUsed, position, holders int) uint32 {
	rank := position
	for rank <= highestUsed {
		rank += holders
	}
	return uint32(rank)
}

// Holders returns the IDs of the owner and the deputies for a new grant. Candidates in the domain's
// data hall come first, and within these groups those with the highest rendezvous scores.
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

// score returns the score of a daemon for a domain in rendezvous hashing.
func score(domain, id string) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(domain + "\x00" + id))
	sum := h.Sum64()
	sum ^= sum >> 29
	sum *= 0xbf58476d1ce4e5b9
	return sum ^ sum>>32
}

package ownership

import (
	"encoding/json"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/cluster"
)

func candidates(ids ...string) []Candidate {
	var all []Candidate
	for _, id := range ids {
		all = append(all, Candidate{ID: id, Local: true})
	}
	return all
}

func TestDecide(t *testing.T) {
	grant := Grant{domain: "d", epoch: 7, holders: []string{"a", "b", "c"}}
	first := Holders("d", candidates("a", "b", "c"))[0]
	cases := map[string]struct {
		self       string
		grant      Grant
		activeRank int
		gone       []string
		leaving    []string
		overdue    bool
		want       Action
	}{
		"the owner leads":                           {self: "a", grant: grant, activeRank: -1, want: Lead},
		"a deputy follows":                          {self: "b", grant: grant, activeRank: 0, want: Follow},
		"the first deputy takes over":               {self: "b", grant: grant, activeRank: 0, gone: []string{"a"}, want: LeadAndPropose},
		"the second waits for the first":            {self: "c", grant: grant, activeRank: 0, gone: []string{"a"}, want: Follow},
		"the second follows the first":              {self: "c", grant: grant, activeRank: 1, gone: []string{"a", "b"}, want: LeadAndPropose},
		"the owner comes back in the next round":    {self: "a", grant: grant, activeRank: 2, gone: []string{"b", "c"}, want: Lead},
		"the owner follows an active deputy":        {self: "a", grant: grant, activeRank: 1, want: Follow},
		"a leaving owner hands over":                {self: "a", grant: grant, activeRank: 0, leaving: []string{"a"}, want: LeadAndPropose},
		"a deputy replaces an overdue owner":        {self: "b", grant: grant, activeRank: 0, overdue: true, want: LeadAndPropose},
		"an overdue owner follows":                  {self: "a", grant: grant, activeRank: 0, overdue: true, want: Follow},
		"no grant: the best candidate proposes":     {self: first, activeRank: -1, want: Propose},
		"all holders gone: another daemon proposes": {self: "x", grant: grant, gone: []string{"a", "b", "c"}, want: Propose},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			alive := candidates("a", "b", "c")
			if c.self == "x" {
				alive = candidates("x")
			}
			got := Decide(Situation{
				Self: c.self, Domain: "d", Grant: c.grant, ActiveRank: c.activeRank, Overdue: c.overdue,
				IsGone:     func(id string) bool { return slices.Contains(c.gone, id) },
				IsLeaving:  func(id string) bool { return slices.Contains(c.leaving, id) },
				Candidates: alive,
			})
			assert.Equal(t, got, c.want)
		})
	}
}

// TestRanksAreNeverShared checks that no rank belongs to two of three holders.
func TestRanksAreNeverShared(t *testing.T) {
	owners := make(map[uint32]int)
	for used := -1; used < 20; used++ {
		for position := range 3 {
			rank := NextRank(used, position, 3)
			assert.Assert(t, int(rank) > used)
			if holder, assigned := owners[rank]; assigned {
				assert.Equal(t, holder, position)
			}
			owners[rank] = position
		}
	}
}

// TestFirstGrantInLogOrderWins checks that only the first of two grants that replace the same one
// takes effect.
func TestFirstGrantInLogOrderWins(t *testing.T) {
	s := NewState()
	for i, holder := range []string{"a", "b"} {
		data, err := json.Marshal(Record{Domain: "d", Holders: []string{holder}})
		assert.NilError(t, err)
		s.Apply(cluster.Record{Offset: int64(i)}, data)
	}
	assert.Equal(t, s.Grant("d").Owner(), "a")
	assert.Equal(t, s.Grant("d").Epoch(), uint64(1))
}

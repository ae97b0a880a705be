package daemon

import (
	"quartzshelf.dev/membership"
	"quartzshelf.dev/ownership"
	"quartzshelf.dev/replica"
	"quartzshelf.dev/rpc"
)

// members answers the controller's questions from the membership table.
type members struct {
	table *membership.Table
}

var _ replica.Members = members{}

// Gone implements replica.Members.
func (m members) Gone(id string) bool {
	state := m.table.State(id)
	return state == rpc.MemberState_DEAD || state == rpc.MemberState_LEFT
}

// Leaving implements replica.Members.
func (m members) Leaving(id string) bool {
	member, ok := m.table.Member(id)
	return ok && member.Leaving
}

// Candidates implements replica.Members.
func (m members) Candidates(dataHall string) []ownership.Candidate {
	var all []ownership.Candidate
	for _, member := range m.table.Alive() {
		if !member.Leaving {
			all = append(all, ownership.Candidate{ID: member.Id, Local: member.DataHall == dataHall})
		}
	}
	return all
}

package replica

import (
	"quartzshelf.dev/membership"
	"quartzshelf.dev/ownership"
	"quartzshelf.dev/rpc"
)

// TableMembers implements Members with a membership table.
type TableMembers struct {
	table *membership.Table
}

var _ Members = TableMembers{}

// NewTableMembers returns Members backed by the table.
func NewTableMembers(table *membership.Table) TableMembers {
	return TableMembers{table: table}
}

// IsGone implements Members.
func (m TableMembers) IsGone(id string) bool {
	state := m.table.State(id)
	return state == rpc.MemberState_DEAD || state == rpc.MemberState_LEFT
}

// IsLeaving implements Members.
func (m TableMembers) IsLeaving(id string) bool {
	member, ok := m.table.Member(id)
	return ok && member.Leaving
}

// Candidates implements Members.
func (m TableMembers) Candidates(dataHall string) []ownership.Candidate {
	var all []ownership.Candidate
	for _, member := range m.table.Alive() {
		if !member.Leaving {
			all = append(all, ownership.Candidate{ID: member.Id, Local: member.DataHall == dataHall})
		}
	}
	return all
}

// Package token defines the fencing token that orders the commands which
// daemons give to nodes.
package token

import "cmp"

// Token orders commands to nodes. A node accepts a command only if its token
// is higher than the one of the command that it holds. It is a message, hence
// its exported fields.
type Token struct {
	// Epoch is one past the log offset of the grant under which the command is given.
	Epoch uint64 `json:"epoch"`
	// Rank is zero for the owner and grows along the list of deputies.
	Rank uint32 `json:"rank"`
	// Sequence grows with each command given under one epoch and rank.
	Sequence uint64 `json:"sequence"`
}

// Compare returns -1, 0 or 1 as t is lower than, equal to or higher than other.
func (t Token) Compare(other Token) int {
	return cmp.Or(
		cmp.Compare(t.Epoch, other.Epoch),
		cmp.Compare(t.Rank, other.Rank),
		cmp.Compare(t.Sequence, other.Sequence),
	)
}

// Higher reports whether t is strictly higher than other.
func (t Token) Higher(other Token) bool {
	return t.Compare(other) > 0
}

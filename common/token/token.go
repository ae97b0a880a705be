// Package token defines the fencing token that orders the commands of daemons to nodes.
package token

import "cmp"

// Token is the fencing token of a command. A node accepts a command only if its token is
// higher than that of the last accepted command.
type Token struct {
	// Epoch is the log offset of the grant of ownership that allows the command, plus one.
	Epoch uint64 `json:"epoch"`
	// Rank is zero for the owner. Deputies have higher ranks, in the order of their list.
	Rank uint32 `json:"rank"`
	// Sequence increases with each command of the same epoch and rank.
	Sequence uint64 `json:"sequence"`
}

// Compare returns -1 if t is lower than other, 0 if they are equal, and 1 if t is higher.
// Epochs are compared first, then ranks, then sequence numbers.
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

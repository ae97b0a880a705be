package standin

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"time"

	"quartzshelf.dev/cluster"
)

// ErrNotStarted is returned when a node rejects a request before executing any part of it.
var ErrNotStarted = errors.New("not started")

// errMemberLost is returned when the replica of a running request has lost a node.
var errMemberLost = errors.New("a member of the replica is gone")

// vocabulary holds the words of generated answers.
var vocabulary = []string{
	"meter", "bill", "due", "seat", "row", "hold", "paid", "notice", "refund", "queue",
	"final", "amount", "date", "account", "office", "receipt",
}

// Token returns the token with the given index of the answer to prompt. The result depends only on
// the arguments, so that tests can predict answers.
func Token(prompt string, index int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s#%d", prompt, index)
	return vocabulary[h.Sum32()%uint32(len(vocabulary))] + " "
}

// Generate runs a request on the replica of which the node is the head. It passes the tokens with
// the indices from to count-1 to emit. It returns an error if the request was not started, ctx is
// done, emit fails or the replica loses a node.
func (n *Node) Generate(ctx context.Context, assignment, prompt string, from, count int, emit func(index int, text string) error) error {
	incarnation, err := n.acquireSlot(ctx, assignment)
	if err != nil {
		return err
	}
	defer n.releaseSlot(incarnation)
	for i := from; i < count; i++ {
		timer := time.NewTimer(n.opts.TokenInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		if !n.isReplicaIntact(incarnation, assignment) {
			return errMemberLost
		}
		if err := emit(i, Token(prompt, i)); err != nil {
			return err
		}
	}
	return nil
}

// acquireSlot waits for a free slot and returns the node's incarnation. It returns ErrNotStarted if
// the node is not the head of the request's replica, if the node restarts during the wait, or if ctx
// is done.
func (n *Node) acquireSlot(ctx context.Context, assignment string) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isHeadOf(assignment) {
		return 0, fmt.Errorf("%w: the node is not ready for %q", ErrNotStarted, assignment)
	}
	incarnation := n.incarnation
	n.queuedRequests++
	defer func() { n.queuedRequests = max(n.queuedRequests-1, 0) }()
	for n.activeRequests >= n.opts.Slots {
		slotFreed := n.slotFreed
		n.mu.Unlock()
		select {
		case <-slotFreed:
		case <-ctx.Done():
		}
		n.mu.Lock()
		if ctx.Err() != nil || !n.up || n.incarnation != incarnation {
			return 0, fmt.Errorf("%w: gave up while queueing", ErrNotStarted)
		}
	}
	n.activeRequests++
	return incarnation, nil
}

func (n *Node) releaseSlot(incarnation int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != incarnation {
		return
	}
	n.activeRequests--
	close(n.slotFreed)
	n.slotFreed = make(chan struct{})
}

// isHeadOf reports whether the node is the head of a ready replica, named REPLICA@GENERATION. The
// caller holds n.mu.
func (n *Node) isHeadOf(assignment string) bool {
	a := n.state.Assignment
	return n.up && n.state.Phase == cluster.PhaseReady &&
		assignment == a.Name() && len(a.Members) > 0 && a.Members[0] == n.opts.Listed.ID
}

// isReplicaIntact reports whether the node is still the head of the replica in the same incarnation,
// and all members are running.
func (n *Node) isReplicaIntact(incarnation int, assignment string) bool {
	n.mu.Lock()
	isHead := n.incarnation == incarnation && n.isHeadOf(assignment)
	members := n.state.Assignment.Members
	n.mu.Unlock()
	if !isHead {
		return false
	}
	for _, id := range members {
		if n.opts.IsNodeUp != nil && !n.opts.IsNodeUp(id) {
			return false
		}
	}
	return true
}

// Call executes one call of the plain service, which takes the given duration. It returns how many
// calls with this mark the node has executed, including this one.
func (n *Node) Call(ctx context.Context, mark string, duration time.Duration) (int, error) {
	n.mu.Lock()
	if !n.up {
		n.mu.Unlock()
		return 0, ErrNotStarted
	}
	n.callCounts[mark]++
	count := n.callCounts[mark]
	n.mu.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return count, nil
	case <-ctx.Done():
		return count, ctx.Err()
	}
}

// CallCounts returns the number of calls of the plain service by mark.
func (n *Node) CallCounts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.callCounts)
}

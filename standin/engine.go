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

// errMemberLost is returned when a node of the replica that executes a request is no longer
// running.
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

// Generate executes a request on the replica whose head is this node. It calls emit for each token
// from firstIndex to tokenCount-1. It returns an error if the request was not started, ctx is done,
// emit fails or the replica loses a node. assignmentName has the form REPLICA@GENERATION.
func (n *Node) Generate(ctx context.Context, assignmentName, prompt string, firstIndex, tokenCount int, emit func(index int, text string) error) error {
	incarnation, err := n.acquireSlot(ctx, assignmentName)
	if err != nil {
		return err
	}
	defer n.releaseSlot(incarnation)
	for i := firstIndex; i < tokenCount; i++ {
		timer := time.NewTimer(n.opts.TokenInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		if !n.isReplicaIntact(incarnation, assignmentName) {
			return errMemberLost
		}
		if err := emit(i, Token(prompt, i)); err != nil {
			return err
		}
	}
	return nil
}

// acquireSlot waits for a free slot and returns the node's incarnation. It returns ErrNotStarted if
// the node is not the head of the request's replica, if the node restarts during the wait, or if
// ctx is done.
func (n *Node) acquireSlot(ctx context.Context, assignmentName string) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isHeadOf(assignmentName) {
		return 0, fmt.Errorf("%w: the node is not ready for %q", ErrNotStarted, assignmentName)
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

// isHeadOf reports whether the node is ready and the head of the replica with this assignment name.
// The caller holds n.mu.
func (n *Node) isHeadOf(assignmentName string) bool {
	a := n.state.Assignment
	return n.up && n.state.Phase == cluster.PhaseReady &&
		assignmentName == a.Name() && len(a.Members) > 0 && a.Members[0] == n.opts.ListEntry.ID
}

// isReplicaIntact reports whether the node has not restarted, is still the head of the replica, and
// all members of the replica are running.
func (n *Node) isReplicaIntact(incarnation int, assignmentName string) bool {
	n.mu.Lock()
	isHead := n.incarnation == incarnation && n.isHeadOf(assignmentName)
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

// Call executes one call of the plain service, which takes the given duration. The mark is a label
// by which calls are counted. Call returns how many calls with this mark the node has executed,
// including this one.
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

// CallCounts returns the number of calls of the plain service for each mark.
func (n *Node) CallCounts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.callCounts)
}

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

// ErrNotStarted is given by an engine that refuses a request before it ran
// anything of it.
var ErrNotStarted = errors.New("not started")

// errMemberLost ends a request whose replica lost a node.
var errMemberLost = errors.New("a member of the replica is gone")

var vocabulary = []string{
	"meter", "bill", "due", "seat", "row", "hold", "paid", "notice", "refund", "queue",
	"final", "amount", "date", "account", "office", "receipt",
}

// Token returns the token with the given index of the answer to prompt, which
// depends on nothing else, so that a resumed stream can be compared.
func Token(prompt string, index int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s#%d", prompt, index)
	return vocabulary[h.Sum32()%uint32(len(vocabulary))] + " "
}

// Generate runs a request on the replica that the node leads and hands each
// token from index from on to emit. It ends when count tokens were emitted,
// ctx ends, emit fails, or the replica loses a node.
func (n *Node) Generate(ctx context.Context, assignment, prompt string, from, count int, emit func(index int, text string) error) error {
	life, err := n.enter(ctx, assignment)
	if err != nil {
		return err
	}
	defer n.leave(life)
	for i := from; i < count; i++ {
		timer := time.NewTimer(n.opts.Step)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		if !n.whole(life, assignment) {
			return errMemberLost
		}
		if err := emit(i, Token(prompt, i)); err != nil {
			return err
		}
	}
	return nil
}

// enter waits for a slot. It fails with ErrNotStarted when the node does not
// lead the replica that the request is meant for.
func (n *Node) enter(ctx context.Context, assignment string) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leads(assignment) {
		return 0, fmt.Errorf("%w: the node is not ready for %q", ErrNotStarted, assignment)
	}
	life := n.life
	n.queue++
	defer func() { n.queue = max(n.queue-1, 0) }()
	for n.active >= n.opts.Slots {
		freed := n.freed
		n.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		n.mu.Lock()
		if ctx.Err() != nil || !n.up || n.life != life {
			return 0, fmt.Errorf("%w: gave up while queueing", ErrNotStarted)
		}
	}
	n.active++
	return life, nil
}

func (n *Node) leave(life int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life != life {
		return
	}
	n.active--
	close(n.freed)
	n.freed = make(chan struct{})
}

// leads reports whether the node leads the ready replica REPLICA@GENERATION.
func (n *Node) leads(assignment string) bool {
	a := n.state.Assignment
	return n.up && n.state.Phase == cluster.PhaseReady &&
		assignment == a.Name() && len(a.Members) > 0 && a.Members[0] == n.opts.Listed.ID
}

// whole reports whether the node still leads the same replica and every member is up.
func (n *Node) whole(life int, assignment string) bool {
	n.mu.Lock()
	ok := n.life == life && n.leads(assignment)
	members := n.state.Assignment.Members
	n.mu.Unlock()
	if !ok {
		return false
	}
	for _, id := range members {
		if n.opts.Alive != nil && !n.opts.Alive(id) {
			return false
		}
	}
	return true
}

// Call runs one call of the plain service, after work of the given time, and
// counts it under mark.
func (n *Node) Call(ctx context.Context, mark string, work time.Duration) (int, error) {
	n.mu.Lock()
	if !n.up {
		n.mu.Unlock()
		return 0, ErrNotStarted
	}
	n.runs[mark]++
	count := n.runs[mark]
	n.mu.Unlock()
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return count, nil
	case <-ctx.Done():
		return count, ctx.Err()
	}
}

// Runs returns how often the plain service ran each mark.
func (n *Node) Runs() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.runs)
}

package replica

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/token"
	"quartzshelf.dev/placement"
)

// outgoing is an order about to be sent.
type outgoing struct {
	memory *nodeMemory
	order  cluster.Order
	reason string
}

// orders turns a plan into the orders that may go out now. Replicas that are
// intact are drained first; their orders wait.
func (d *domain) orders(plan placement.Plan, groups []observed, now time.Time) []outgoing {
	intact := intactByNode(groups)
	wasDraining := d.drains
	d.drains = make(map[string]drain)
	for id, state := range wasDraining {
		if touched(plan, intact, id) {
			d.drains[id] = state
		}
	}
	var all []outgoing
	for _, f := range plan.Formations {
		all = append(all, d.formationOrders(f, intact, now)...)
	}
	for _, step := range plan.Releases {
		if d.mayRelease(step, intact, now) {
			all = append(all, d.prepare(step.Node, step.Assignment, step.Reason))
		}
	}
	all = append(all, d.preloads(plan, all)...)
	return append(all, d.reaffirmations(all)...)
}

// preloads returns the orders that let nodes fetch weights beside their work.
func (d *domain) preloads(plan placement.Plan, sent []outgoing) []outgoing {
	busy := nodesOf(sent)
	var all []outgoing
	for _, p := range plan.Preloads {
		if !busy[p.Node] {
			o := d.prepare(p.Node, d.nodes[p.Node].state.Assignment, p.Reason)
			o.order.Preload = []string{p.Version}
			all = append(all, o)
		}
	}
	return all
}

// nodesOf returns the nodes that the orders are for.
func nodesOf(orders []outgoing) map[string]bool {
	nodes := make(map[string]bool, len(orders))
	for _, o := range orders {
		nodes[o.memory.listed.ID] = true
	}
	return nodes
}

// intactByNode returns, for each node of an intact replica that is not run by
// scripts, the replica.
func intactByNode(groups []observed) map[string]observed {
	intact := make(map[string]observed)
	for _, o := range groups {
		if !o.intact() || o.scripted {
			continue
		}
		for _, m := range o.members {
			intact[m.listed.ID] = o
		}
	}
	return intact
}

// mayRelease reports whether a node may be freed now.
func (d *domain) mayRelease(step placement.Step, intact map[string]observed, now time.Time) bool {
	if o, ok := intact[step.Node]; ok && !d.drained(o, now) {
		return false
	}
	return len(d.guards(step.Node, now)) == 0
}

// touched reports whether the plan moves a node of the intact replica.
func touched(plan placement.Plan, intact map[string]observed, replica string) bool {
	of := func(step placement.Step) bool {
		o, ok := intact[step.Node]
		return ok && o.id == replica
	}
	for _, step := range plan.Releases {
		if of(step) {
			return true
		}
	}
	for _, f := range plan.Formations {
		for _, step := range f.Steps {
			if of(step) {
				return true
			}
		}
	}
	return false
}

// formationOrders returns the orders of a formation, or none while a replica
// that has to give up nodes for it is still being drained.
func (d *domain) formationOrders(f placement.Formation, intact map[string]observed, now time.Time) []outgoing {
	ready := true
	for _, step := range f.Steps {
		if o, ok := intact[step.Node]; ok && !d.drained(o, now) {
			ready = false
		}
	}
	if !ready {
		return nil
	}
	if first := d.releaseGuards(f.Steps, now); first != nil || d.guarded(f.Steps, now) {
		return first
	}
	generation := generationOf(d.next())
	all := make([]outgoing, 0, len(f.Steps))
	for _, step := range f.Steps {
		step.Assignment.Generation = generation
		all = append(all, d.prepare(step.Node, step.Assignment, step.Reason))
	}
	d.c.opts.Logger.Info("forming replica", "replica", f.Replica, "generation", generation, "reason", f.Reason)
	return all
}

// guarded reports whether a step must wait for a permit to run out.
func (d *domain) guarded(steps []placement.Step, now time.Time) bool {
	return slices.ContainsFunc(steps, func(s placement.Step) bool { return len(d.guards(s.Node, now)) > 0 })
}

// releaseGuards returns orders that free the answering nodes of broken
// replicas whose permits hold up the steps. Once those nodes have confirmed,
// the steps need not wait for the permits to run out.
func (d *domain) releaseGuards(steps []placement.Step, now time.Time) []outgoing {
	freed := make(map[string]bool)
	var all []outgoing
	for _, step := range steps {
		for _, p := range d.guards(step.Node, now) {
			leader := p.assignment.Members[0]
			m, known := d.nodes[leader]
			if freed[leader] || !known || !m.answered || !m.fenced() {
				continue
			}
			freed[leader] = true
			all = append(all, d.prepare(leader, cluster.Assignment{}, "free a broken replica before its nodes move"))
		}
	}
	return all
}

// Bits of a generation that hold the epoch, the rank and the sequence.
const (
	rankBits     = 12
	sequenceBits = 28
)

// generationOf returns the generation that a token stands for: as a token is
// used once, no two formations share a generation, and later ones are higher.
// It is reported in JSON, so it must stay below 2^63.
func generationOf(t token.Token) uint64 {
	rank := uint64(t.Rank) & (1<<rankBits - 1)
	sequence := t.Sequence & (1<<sequenceBits - 1)
	return t.Epoch<<(rankBits+sequenceBits) | rank<<sequenceBits | sequence
}

// reaffirmations returns orders that repeat, under this leader's token, the
// assignment of each node that still holds an older one. They disturb nothing
// and fence off the orders of earlier leaders.
func (d *domain) reaffirmations(sent []outgoing) []outgoing {
	busy := nodesOf(sent)
	var all []outgoing
	for id, m := range d.nodes {
		if busy[id] || m.listed.Kind != cluster.KindEngine || m.scripted() || !m.fenced() || !m.answered {
			continue
		}
		if d.mine(m) || m.state.Assignment.Empty() {
			continue
		}
		all = append(all, d.prepare(id, m.state.Assignment, "confirm the owner"))
	}
	return all
}

// prepare makes an order with a token of its own.
func (d *domain) prepare(node string, a cluster.Assignment, reason string) outgoing {
	m := d.nodes[node]
	t := d.next()
	if !m.state.Assignment.Same(a) {
		// An order that repeats the assignment may arrive late without harm.
		m.ordered = t
	}
	return outgoing{memory: m, order: cluster.Order{Token: t, Assignment: a}, reason: reason}
}

// send gives the orders side by side. What an order without an answer did is
// seen by the next probe; until the node shows the order's token or a higher
// one, it counts for no replica.
func (d *domain) send(ctx context.Context, orders []outgoing) {
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if time.Now().After(d.probedAt.Add(probeFresh)) {
		// This process was held up: the nodes may not be any more as they were.
		return
	}
	p := pool.NewWithResults[probeResult]().WithMaxGoroutines(probeParallel)
	for _, o := range orders {
		address, id := o.memory.listed.Address, o.memory.listed.ID
		p.Go(func() probeResult {
			reply, err := d.c.opts.Control.Order(ctx, address, o.order)
			return probeResult{id: id, state: reply.State, err: err}
		})
	}
	for _, r := range p.Wait() {
		if r.err == nil {
			d.see(d.nodes[r.id], r.state.Token)
		}
	}
}

package replica

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/token"
	"quartzshelf.dev/config"
	"quartzshelf.dev/placement"
)

// nodeAnswer is the answer of one node to a probe or an order, or the error if there was no answer.
type nodeAnswer struct {
	id    string
	state cluster.NodeState
	err   error
}

// probeNodes asks all nodes of the domain concurrently for their state and updates the tracked
// nodes from the answers.
func (d *domain) probeNodes(ctx context.Context) {
	d.lastProbeAt = time.Now()
	// The previous value may come from a node that has left the domain.
	d.highestNodeToken = token.Token{}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p := pool.NewWithResults[nodeAnswer]().WithMaxGoroutines(maxParallelCalls)
	for id, m := range d.nodes {
		address := m.listed.Address
		p.Go(func() nodeAnswer {
			state, err := d.controller.opts.NodeControl.State(ctx, address)
			return nodeAnswer{id: id, state: state, err: err}
		})
	}
	results := p.Wait()
	silentCount := 0
	for _, r := range results {
		if r.err != nil {
			silentCount++
		}
	}
	d.updateReachability(silentCount, len(results), time.Now())
	lostAt := time.Now().Add(lostTimeout)
	if 2*silentCount > len(results) {
		lostAt = time.Now().Add(lostTimeoutMajority)
	}
	for _, r := range results {
		d.applyProbe(r, lostAt)
	}
}

// applyProbe updates a tracked node from its answer to a probe. If the node answered the previous
// probe but not this one, it counts as lost from lostAt on.
func (d *domain) applyProbe(r nodeAnswer, lostAt time.Time) {
	m := d.nodes[r.id]
	m.answered = r.err == nil && r.state.Node == r.id
	if !m.answered {
		if m.lostAt.IsZero() {
			m.lostAt = lostAt
		}
		return
	}
	m.lostAt = time.Time{}
	m.state = r.state
	d.recordToken(m, r.state.Token)
}

// recordToken updates highestNodeToken with a token that a node has reported. Nodes that are
// managed by scripts or don't check tokens are ignored, because their tokens don't show which
// daemon leads.
func (d *domain) recordToken(m *trackedNode, t token.Token) {
	if !m.isScripted() && m.isFenced() && t.Higher(d.highestNodeToken) {
		d.highestNodeToken = t
	}
}

// updateLabels computes the labels of all nodes.
func (d *domain) updateLabels(view *config.View) {
	for id, m := range d.nodes {
		m.labels = view.NodeLabels(id, labelsFromList(m.listed.Domain, m.listed.DataHall, m.listed.Kind))
	}
}

// labelsFromList returns the labels that a node gets from the node list.
func labelsFromList(domain, dataHall string, kind cluster.NodeKind) map[string]string {
	return map[string]string{
		config.LabelDomain:   domain,
		config.LabelDataHall: dataHall,
		config.LabelKind:     string(kind),
	}
}

// isScripted reports whether the node is managed by operators' scripts and not by this package.
func (m *trackedNode) isScripted() bool {
	return m.labels[config.LabelManagedBy] == config.ManagedByScripts
}

// isFenced reports whether the node checks fencing tokens.
func (m *trackedNode) isFenced() bool {
	return m.labels[config.LabelFenced] != config.LabelFalse
}

func (m *trackedNode) isLeaving() bool {
	return m.listed.Leaving || m.reportedLeaving || m.labels[config.LabelDrain] == config.LabelTrue
}

func (m *trackedNode) isLost(now time.Time) bool {
	return !m.answered && !m.lostAt.IsZero() && !now.Before(m.lostAt)
}

// plannerInput returns the planner's input for the current state.
func (d *domain) plannerInput(view *config.View) placement.Input {
	now := time.Now()
	in := placement.Input{Domain: d.name, MaxConcurrentLoads: d.controller.opts.MaxConcurrentLoads, Closed: view.Hall(d.dataHall).Closed()}
	canOrderUnfenced := d.canOrderUnfenced(d.controller.opts.Ownership.Grant(d.name), now)
	for id, m := range d.nodes {
		if m.listed.Kind != cluster.KindEngine {
			continue
		}
		in.Nodes = append(in.Nodes, placement.Node{
			ID:           id,
			Labels:       m.labels,
			Answering:    m.answered,
			Lost:         m.isLost(now),
			Leaving:      m.isLeaving(),
			Scripted:     m.isScripted(),
			Unorderable:  !m.isFenced() && !canOrderUnfenced,
			Accelerators: m.listed.Accelerators,
			Assignment:   m.state.Assignment,
			Phase:        m.state.Phase,
			Cached:       m.state.Cached,
			Preloading:   m.state.Preloading,
		})
	}
	in.Wants = d.computeWants(view)
	return in
}

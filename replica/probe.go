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

// probeResult is what one probe brought.
type probeResult struct {
	id    string
	state cluster.NodeState
	err   error
}

// probe asks every node of the domain for its state, side by side.
func (d *domain) probe(ctx context.Context) {
	d.probedAt = time.Now()
	// What nodes showed before may have been of nodes that now count no more.
	d.seen = token.Token{}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p := pool.NewWithResults[probeResult]().WithMaxGoroutines(probeParallel)
	for id, m := range d.nodes {
		address := m.listed.Address
		p.Go(func() probeResult {
			state, err := d.c.opts.Control.State(ctx, address)
			return probeResult{id: id, state: state, err: err}
		})
	}
	results := p.Wait()
	silent := 0
	for _, r := range results {
		if r.err != nil {
			silent++
		}
	}
	d.noteReach(silent, len(results), time.Now())
	loseAt := time.Now().Add(loseAfter)
	if 2*silent > len(results) {
		loseAt = time.Now().Add(loseManyAfter)
	}
	for _, r := range results {
		d.note(r, loseAt)
	}
}

// note takes over what a probe brought; loseAt is when a node that is newly
// silent is given up.
func (d *domain) note(r probeResult, loseAt time.Time) {
	m := d.nodes[r.id]
	m.answered = r.err == nil && r.state.Node == r.id
	if !m.answered {
		if m.lostAt.IsZero() {
			m.lostAt = loseAt
		}
		return
	}
	m.lostAt = time.Time{}
	m.state = r.state
	d.see(m, r.state.Token)
}

// see notes the highest token of the domain. Nodes that scripts run or that do
// not check tokens say nothing of who leads.
func (d *domain) see(m *nodeMemory, t token.Token) {
	if !m.scripted() && m.fenced() && t.Higher(d.seen) {
		d.seen = t
	}
}

// relabel works out the labels of all nodes.
func (d *domain) relabel(view *config.View) {
	for id, m := range d.nodes {
		m.labels = view.NodeLabels(id, listLabels(m.listed.Domain, m.listed.DataHall, m.listed.Kind))
	}
}

// listLabels returns the labels that a node has from the node list.
func listLabels(domain, dataHall string, kind cluster.NodeKind) map[string]string {
	return map[string]string{
		config.LabelDomain:   domain,
		config.LabelDataHall: dataHall,
		config.LabelKind:     string(kind),
	}
}

func (m *nodeMemory) scripted() bool {
	return m.labels[config.LabelManagedBy] == config.ManagedByScripts
}

func (m *nodeMemory) fenced() bool {
	return m.labels[config.LabelFenced] != config.LabelFalse
}

func (m *nodeMemory) leaving() bool {
	return m.listed.Leaving || m.toldLeaving || m.labels[config.LabelDrain] == config.LabelTrue
}

func (m *nodeMemory) lost(now time.Time) bool {
	return !m.answered && !m.lostAt.IsZero() && !now.Before(m.lostAt)
}

// input makes the planner's input from what is known now.
func (d *domain) input(view *config.View) placement.Input {
	now := time.Now()
	in := placement.Input{Domain: d.name, LoadSlots: d.c.opts.LoadSlots, Closed: view.Hall(d.dataHall).Closed()}
	mayUnfenced := d.mayOrderUnfenced(d.c.opts.Ownership.Grant(d.name), now)
	for id, m := range d.nodes {
		if m.listed.Kind != cluster.KindEngine {
			continue
		}
		in.Nodes = append(in.Nodes, placement.Node{
			ID:           id,
			Labels:       m.labels,
			Answering:    m.answered,
			Lost:         m.lost(now),
			Leaving:      m.leaving(),
			Scripted:     m.scripted(),
			Unorderable:  !m.fenced() && !mayUnfenced,
			Accelerators: m.listed.Accelerators,
			Assignment:   m.state.Assignment,
			Phase:        m.state.Phase,
			Cached:       m.state.Cached,
			Preloading:   m.state.Preloading,
		})
	}
	in.Wants = d.wants(view)
	return in
}

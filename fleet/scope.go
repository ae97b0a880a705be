package fleet

import "time"

// Scope says which workers an inventory holds.
type Scope int

// The scopes.
const (
	// AllWorkers is the scope of leaders and of daemons that may become leader soon.
	AllWorkers Scope = iota
	// HeadsOnly is the scope of daemons that only serve requests. It covers the workers that
	// requests can be sent to, which are a small part of all workers.
	HeadsOnly
)

// SetScope sets which workers are requested. For HeadsOnly, other workers are dropped immediately.
// For AllWorkers, the missing workers are added with the next whole list.
func (i *Inventory) SetScope(s Scope) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.scope == s {
		return
	}
	i.scope = s
	if s == AllWorkers || i.headsOnly {
		return
	}
	i.headsOnly = true
	for id, w := range i.workers {
		if !w.isHead() {
			delete(i.workers, id)
		}
	}
	i.publish()
}

// IsComplete reports whether all listed workers are held.
func (i *Inventory) IsComplete() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.headsOnly && !i.confirmed.IsZero()
}

// NeedsList reports whether a whole list is needed, because all workers are requested but only
// heads are held.
func (i *Inventory) NeedsList() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.needsList()
}

func (i *Inventory) needsList() bool { return i.headsOnly && i.scope == AllWorkers }

// RequestedScope returns the scope to request from peers.
func (i *Inventory) RequestedScope() Scope {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.scope
}

// ReplaceHeads replaces the workers by a peer's list of all heads that was confirmed at the given
// time. It ignores lists older than the current position, and does nothing if all workers are held
// and requested.
func (i *Inventory) ReplaceHeads(all []Change, position int64, at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if position < i.position || !i.headsOnly && i.scope == AllWorkers && !i.confirmed.IsZero() {
		return
	}
	i.headsOnly = true
	i.replaceList(all, position, at)
}

// isInScope reports whether the inventory should hold a worker. It holds all workers unless
// headsOnly is set. The mutex must be held.
func (i *Inventory) isInScope(w *Worker) bool { return !i.headsOnly || w.isHead() }

// markHeads sets OfHead on the changes that concern heads. The mutex must be held.
func (i *Inventory) markHeads(changes []Change) {
	heads := make(map[string]bool)
	for n, c := range changes {
		wasHead, changedBefore := heads[c.ID]
		if held, ok := i.workers[c.ID]; !changedBefore && ok {
			wasHead = held.isHead()
		}
		isHead := c.Worker != nil && c.Worker.isHead()
		changes[n].OfHead, heads[c.ID] = wasHead || isHead, isHead
	}
}

// HeadsSince returns what Since returns, limited to the changes of heads, for a peer that holds
// heads only.
func (i *Inventory) HeadsSince(from int64) (d Delta, whole bool) {
	d, whole = i.Since(from)
	heads := Delta{From: d.From, To: d.To, HeadsOnly: true}
	for _, c := range d.Changes {
		if c.OfHead || whole && c.Worker.isHead() {
			heads.Changes = append(heads.Changes, c)
		}
	}
	return heads, whole
}

// SplitHeads divides the changes of heads into parts of at most limit changes each, and leaves out
// other changes. If no change is of a head, the only part is empty and just advances the position.
// It returns false if several parts are needed but the delta is not exact.
func (d Delta) SplitHeads(limit int) ([]Delta, bool) {
	var parts []Delta
	part := Delta{From: d.From, HeadsOnly: true}
	for n, c := range d.Changes {
		if !c.OfHead {
			continue
		}
		if len(part.Changes) == limit {
			if !d.IsExact {
				return nil, false
			}
			part.To = d.From + int64(n)
			parts = append(parts, part)
			part = Delta{From: part.To, HeadsOnly: true}
		}
		part.Changes = append(part.Changes, c)
	}
	part.To = d.To
	return append(parts, part), true
}

package fleet

import "time"

// Scope is which workers an inventory holds.
type Scope int

// The scopes.
const (
	// AllWorkers is what a leader needs, and those that may follow it soon.
	AllWorkers Scope = iota
	// HeadsOnly is the workers that requests can go to: enough to serve. Of 3,064 workers
	// these are some 500, and most changes of the list are none of theirs.
	HeadsOnly
)

// SetScope decides which workers are held from now on. Those that a wider scope lacks come
// with the next whole list.
func (i *Inventory) SetScope(s Scope) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.scope == s {
		return
	}
	i.scope = s
	if s == AllWorkers || i.partial {
		return
	}
	i.partial = true
	for id, w := range i.workers {
		if !w.isHead() {
			delete(i.workers, id)
		}
	}
	i.publish()
}

// Complete reports whether all workers are held that the list shows.
func (i *Inventory) Complete() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.partial && !i.confirmed.IsZero()
}

// AwaitsList reports whether a whole list is needed: only heads are held, and that is too
// few.
func (i *Inventory) AwaitsList() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.awaitsList()
}

func (i *Inventory) awaitsList() bool { return i.partial && i.scope == AllWorkers }

// Wants returns the scope that is to be asked for.
func (i *Inventory) Wants() Scope {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.scope
}

// ReplaceHeads takes a list of all heads from a peer, as Replace does a whole list. A
// complete list is not replaced by it.
func (i *Inventory) ReplaceHeads(all []Change, position int64, at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if position < i.position || !i.partial && i.scope == AllWorkers && !i.confirmed.IsZero() {
		return
	}
	i.partial = true
	i.replace(all, position, at)
}

// keeps reports whether a worker is held. The mutex is held.
func (i *Inventory) keeps(w *Worker) bool { return !i.partial || w.isHead() }

// markHeads notes which changes matter to those that hold heads alone. The mutex is held.
func (i *Inventory) markHeads(changes []Change) {
	heads := make(map[string]bool)
	for n, c := range changes {
		before, known := heads[c.ID]
		if held, ok := i.workers[c.ID]; !known && ok {
			before = held.isHead()
		}
		now := c.Worker != nil && c.Worker.isHead()
		changes[n].OfHead, heads[c.ID] = before || now, now
	}
}

// HeadsSince returns, as Since does, what leads from a position to the current one for a
// peer that holds heads alone.
func (i *Inventory) HeadsSince(from int64) (d Delta, whole bool) {
	d, whole = i.Since(from)
	heads := Delta{From: d.From, To: d.To, Heads: true}
	for _, c := range d.Changes {
		if c.OfHead || whole && c.Worker.isHead() {
			heads.Changes = append(heads.Changes, c)
		}
	}
	return heads, whole
}

// SplitHeads returns the changes of heads in parts of a bounded number, as Split does. Parts
// without changes tell the position alone.
func (d Delta) SplitHeads(most int) ([]Delta, bool) {
	var parts []Delta
	part := Delta{From: d.From, Heads: true}
	for n, c := range d.Changes {
		if !c.OfHead {
			continue
		}
		if len(part.Changes) == most {
			if !d.Exact {
				return nil, false
			}
			part.To = d.From + int64(n)
			parts = append(parts, part)
			part = Delta{From: part.To, Heads: true}
		}
		part.Changes = append(part.Changes, c)
	}
	part.To = d.To
	return append(parts, part), true
}

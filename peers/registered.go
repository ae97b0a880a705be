package peers

import "slices"

// registered holds the ids of all daemons that were ever known. Unlike the table it does
// not forget the silent ones: who may send to a worker that warms up is decided among all
// that may be there, on both sides of a cut.
type registered struct {
	// ids are sorted, and replaced as a whole when one is added.
	ids []string
}

// add notes a daemon.
func (r *registered) add(id string) {
	at, known := slices.BinarySearch(r.ids, id)
	if known || id == "" {
		return
	}
	r.ids = slices.Insert(slices.Clone(r.ids), at, id)
}

// Registered returns the ids of all daemons that were ever known, with this daemon's own,
// sorted. The slice must not be changed.
func (t *Table) Registered() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registered.ids
}

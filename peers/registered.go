package peers

import "slices"

// registered holds all daemons that were ever known. Unlike the table it does not forget the
// silent ones: who may send to a worker whose requests are bounded is decided among all that
// may be there, on both sides of a cut.
type registered struct {
	// ids are sorted, and replaced as a whole when one is added.
	ids []string
	// hall holds the daemons of the own data hall, the fittest to relay first, and is
	// replaced as a whole as well.
	hall []Identity
}

// add notes a daemon.
func (r *registered) add(id string) {
	at, known := slices.BinarySearch(r.ids, id)
	if known || id == "" {
		return
	}
	r.ids = slices.Insert(slices.Clone(r.ids), at, id)
}

// addToHall notes a daemon of the own data hall, or what it is in another life.
func (r *registered) addToHall(identity Identity) {
	at := slices.IndexFunc(r.hall, func(other Identity) bool { return other.ID == identity.ID })
	if identity.ID == "" || at >= 0 && r.hall[at].Capacity == identity.Capacity {
		return
	}
	hall := slices.Clone(r.hall)
	if at >= 0 {
		hall = slices.Delete(hall, at, at+1)
	}
	at, _ = slices.BinarySearchFunc(hall, identity, CompareRelays)
	r.hall = slices.Insert(hall, at, identity)
}

// Registered returns the ids of all daemons that were ever known, with this daemon's own,
// sorted. The slice must not be changed.
func (t *Table) Registered() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registered.ids
}

// Fittest returns the ids of the daemons of the own data hall that are the fittest to relay of
// all that were ever known, this one included, and most of them at most.
func (t *Table) Fittest(most int) []string {
	t.mu.Lock()
	hall := t.registered.hall
	t.mu.Unlock()
	fittest := make([]string, min(len(hall), most))
	for i := range fittest {
		fittest[i] = hall[i].ID
	}
	return fittest
}

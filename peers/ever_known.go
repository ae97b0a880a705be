package peers

import "slices"

// everKnown holds all daemons that were ever known. Unlike the table it keeps silent ones: the
// daemons that may send to a rate-limited worker are chosen from all that may exist, so that both
// sides of a network partition choose the same ones.
type everKnown struct {
	// ids is sorted, and replaced as a whole when an id is added.
	ids []string
	// hall holds the daemons of the own data hall, fittest relay first; also replaced as a whole.
	hall []Identity
}

// add records a daemon.
func (r *everKnown) add(id string) {
	i, known := slices.BinarySearch(r.ids, id)
	if known || id == "" {
		return
	}
	r.ids = slices.Insert(slices.Clone(r.ids), i, id)
}

// addToHall records a daemon of the own data hall, or updates it if its capacity changed.
func (r *everKnown) addToHall(identity Identity) {
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

// EverKnownIDs returns the sorted ids of all daemons that were ever known, this one included. The
// caller must not modify the slice.
func (t *Table) EverKnownIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.everKnown.ids
}

// FittestInHall returns the ids of up to limit daemons of the own data hall that are the fittest
// relays among all that were ever known, this one included.
func (t *Table) FittestInHall(limit int) []string {
	t.mu.Lock()
	hall := t.everKnown.hall
	t.mu.Unlock()
	fittest := make([]string, min(len(hall), limit))
	for i := range fittest {
		fittest[i] = hall[i].ID
	}
	return fittest
}

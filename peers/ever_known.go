package peers

import "slices"

// daemonHistory holds all daemons that this daemon ever knew. Unlike Table.peers it also keeps
// silent ones. The daemons that may send to a rate-limited worker are chosen from it, so that both
// sides of a network partition choose the same ones.
type daemonHistory struct {
	// ids holds the sorted ids of the daemons. A change replaces the slice, so that callers can
	// keep an earlier one.
	ids []string
	// hallDaemons holds the daemons of this daemon's data hall, fittest relay first. A change
	// replaces the slice.
	hallDaemons []Identity
}

// add records a daemon.
func (r *daemonHistory) add(id string) {
	i, known := slices.BinarySearch(r.ids, id)
	if known || id == "" {
		return
	}
	r.ids = slices.Insert(slices.Clone(r.ids), i, id)
}

// addToHall records a daemon of this daemon's data hall, or updates it if its capacity changed.
func (r *daemonHistory) addToHall(identity Identity) {
	at := slices.IndexFunc(r.hallDaemons, func(other Identity) bool { return other.ID == identity.ID })
	if identity.ID == "" || at >= 0 && r.hallDaemons[at].Capacity == identity.Capacity {
		return
	}
	updated := slices.Clone(r.hallDaemons)
	if at >= 0 {
		updated = slices.Delete(updated, at, at+1)
	}
	at, _ = slices.BinarySearchFunc(updated, identity, CompareRelays)
	r.hallDaemons = slices.Insert(updated, at, identity)
}

// EverKnownIDs returns the sorted ids of all daemons that were ever known, this one included. The
// caller must not modify the slice.
func (t *Table) EverKnownIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.everKnown.ids
}

// FittestInHall returns the ids of the daemons that are fittest to relay in this daemon's data
// hall, at most limit. It chooses among all that were ever known, this one included.
func (t *Table) FittestInHall(limit int) []string {
	t.mu.Lock()
	hall := t.everKnown.hallDaemons
	t.mu.Unlock()
	fittest := make([]string, min(len(hall), limit))
	for i := range fittest {
		fittest[i] = hall[i].ID
	}
	return fittest
}

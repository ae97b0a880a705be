package fleet

// Delta holds the changes between two positions of the worker list.
type Delta struct {
	From    int64    `json:"from"`
	To      int64    `json:"to"`
	Changes []Change `json:"changes"`
	// Exact says that there is one change for each position, so that the delta can be divided. It
	// is false if invalid entries were left out.
	Exact bool `json:"exact,omitempty"`
	// Heads says that the delta holds the changes of heads only.
	Heads bool `json:"heads,omitempty"`
}

// withExactness returns the delta, marked as exact if it has one change for each position. No read
// returns more.
func (d Delta) withExactness() Delta {
	d.Exact = int64(len(d.Changes)) == d.To-d.From
	return d
}

// since returns the delta without the changes up to a position, if it is exact. Otherwise it
// returns all changes; applying a change twice is harmless.
func (d Delta) since(position int64) Delta {
	if d.Exact && d.From < position && position <= d.To {
		d.Changes, d.From = d.Changes[position-d.From:], position
	}
	return d
}

// Split divides the delta into parts of at most the given number of changes. It returns false if
// several parts are needed but the delta is not exact: a part with too high a position would make
// its receiver skip changes.
func (d Delta) Split(limit int) ([]Delta, bool) {
	if len(d.Changes) > limit && !d.Exact {
		return nil, false
	}
	var parts []Delta
	for len(d.Changes) > limit {
		to := d.From + int64(limit)
		parts = append(parts, Delta{From: d.From, To: to, Changes: d.Changes[:limit], Exact: true})
		d.From, d.Changes = to, d.Changes[limit:]
	}
	if len(d.Changes) > 0 {
		parts = append(parts, d)
	}
	return parts, true
}

package fleet

// Delta holds the changes between two positions of the worker list.
type Delta struct {
	From    int64    `json:"from"`
	To      int64    `json:"to"`
	Changes []Change `json:"changes"`
	// IsExact is set if there is one change for each position, so that the delta can be split. It
	// is not set if invalid entries were left out.
	IsExact bool `json:"exact,omitempty"`
	// HeadsOnly is set if changes of workers other than heads may be missing from the delta.
	HeadsOnly bool `json:"heads,omitempty"`
}

// withExactness returns the delta with IsExact set if it has one change for each position.
func (d Delta) withExactness() Delta {
	d.IsExact = int64(len(d.Changes)) == d.To-d.From
	return d
}

// since returns the delta without the changes up to a position. It returns a delta that is not
// exact unchanged, because applying a change twice is harmless.
func (d Delta) since(position int64) Delta {
	if d.IsExact && d.From < position && position <= d.To {
		d.Changes, d.From = d.Changes[position-d.From:], position
	}
	return d
}

// Split divides the delta into parts of at most limit changes each. It returns false if several
// parts are needed but the delta is not exact. The positions of the parts would then be unknown,
// and a receiver of a part with too high a position would skip changes.
func (d Delta) Split(limit int) ([]Delta, bool) {
	if len(d.Changes) > limit && !d.IsExact {
		return nil, false
	}
	var parts []Delta
	for len(d.Changes) > limit {
		to := d.From + int64(limit)
		parts = append(parts, Delta{From: d.From, To: to, Changes: d.Changes[:limit], IsExact: true})
		d.From, d.Changes = to, d.Changes[limit:]
	}
	if len(d.Changes) > 0 {
		parts = append(parts, d)
	}
	return parts, true
}

package fleet

// Delta is the changes that lead from one position of the worker list to another.
type Delta struct {
	From    int64    `json:"from"`
	To      int64    `json:"to"`
	Changes []Change `json:"changes"`
	// Exact tells that each position is one change, so that the positions between are
	// known. It is not so where entries were not understood.
	Exact bool `json:"exact,omitempty"`
	// Heads tells that only the changes of heads are among them.
	Heads bool `json:"heads,omitempty"`
}

// counted returns the delta of a read, which is exact if it brought a change for each
// position: none brings more.
func (d Delta) counted() Delta {
	d.Exact = int64(len(d.Changes)) == d.To-d.From
	return d
}

// after returns the changes without those up to a position, as far as they can be
// told apart. Taking a change twice does no harm.
func (d Delta) after(position int64) Delta {
	if d.Exact && d.From < position && position <= d.To {
		d.Changes, d.From = d.Changes[position-d.From:], position
	}
	return d
}

// Split returns the changes in parts of a bounded number, and false where they are
// too many for one part and the positions between are not known. A position that is
// too high would hide what lies below it for good.
func (d Delta) Split(most int) ([]Delta, bool) {
	if len(d.Changes) > most && !d.Exact {
		return nil, false
	}
	var parts []Delta
	for len(d.Changes) > most {
		to := d.From + int64(most)
		parts = append(parts, Delta{From: d.From, To: to, Changes: d.Changes[:most], Exact: true})
		d.From, d.Changes = to, d.Changes[most:]
	}
	if len(d.Changes) > 0 {
		parts = append(parts, d)
	}
	return parts, true
}

package fleet

// Delta is the changes that lead from one position of the worker list to another.
type Delta struct {
	From    int64    `json:"from"`
	To      int64    `json:"to"`
	Changes []Change `json:"changes"`
}

// Split returns the changes in parts of a bounded number. The positions between
// may be too low, never too high: each change takes at least one position, and
// taking a change twice does no harm.
func (d Delta) Split(most int) []Delta {
	var parts []Delta
	from, changes := d.From, d.Changes
	for len(changes) > most {
		to := from + int64(most)
		parts = append(parts, Delta{From: from, To: to, Changes: changes[:most]})
		from, changes = to, changes[most:]
	}
	if len(changes) > 0 {
		parts = append(parts, Delta{From: from, To: d.To, Changes: changes})
	}
	return parts
}

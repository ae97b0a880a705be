package fleet

import (
	"cmp"
	"time"
)

// GroupState is how far a worker is in its group.
type GroupState string

// The states of a worker in its group.
const (
	// Joining workers load weights or wait.
	Joining GroupState = "joining"
	// Ready workers can be opened.
	Ready GroupState = "ready"
	// Open groups take requests at their head.
	Open GroupState = "open"
	// Closing groups end their work.
	Closing GroupState = "closing"
	// Broken groups have lost a member.
	Broken GroupState = "broken"
)

// Membership is a worker's part in a group.
type Membership struct {
	// Group names the group; it is empty for a worker of none.
	Group string     `json:"group,omitempty"`
	Epoch int64      `json:"epoch,omitempty"`
	Rank  int        `json:"rank,omitempty"`
	State GroupState `json:"state,omitempty"`
}

// Same reports whether both name the same group and epoch.
func (m Membership) Same(other Membership) bool {
	return m.Group == other.Group && m.Epoch == other.Epoch
}

// Worker is one life of a worker as it describes itself.
type Worker struct {
	// ID names the worker. A restarted one has another id, or the same and another Born.
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Domain is the fabric domain; replicas lie within one.
	Domain   string `json:"domain,omitempty"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
	// Born is when this life began, in Unix milliseconds; 0 if the worker does not tell.
	Born int64 `json:"born,omitempty"`
	// Beat counts the worker's heartbeats in this life up to this entry.
	Beat int64 `json:"beat,omitempty"`
	// ColdLeft is for how much longer the worker said that it is cold, in milliseconds.
	ColdLeft int64 `json:"cold,omitempty"`
	// ColdUntil is when that ends, counted from when this daemon took the entry: late
	// rather than early.
	ColdUntil time.Time `json:"-"`
	// Loaded is the model of the worker's last group in this life, empty for
	// none: it joins another group of that model without loading anything.
	Loaded string `json:"loaded,omitempty"`
	// Staged lists the models on the worker's host.
	Staged []string   `json:"staged,omitempty"`
	Member Membership `json:"member"`
}

// HasStaged reports whether the model lies on the worker's host.
func (w *Worker) HasStaged(model string) bool {
	for _, s := range w.Staged {
		if s == model {
			return true
		}
	}
	return false
}

// isOlderThan reports whether an entry was written before another one of the same worker,
// by what the worker itself tells in them.
func (w *Worker) isOlderThan(other *Worker) bool {
	return cmp.Or(cmp.Compare(w.Born, other.Born), cmp.Compare(w.Beat, other.Beat)) < 0
}

// isHead reports whether requests may go to a worker: it is the head of a group, or belongs
// to a service without groups.
func (w *Worker) isHead() bool {
	return w.Domain == "" || w.Member.Group != "" && w.Member.Rank == 0
}

// following returns the worker's newest entry with what only an earlier one
// tells. A worker that has left its group tells no model, but still holds the
// one it served; one that said that it leaves, in the list or elsewhere, has said so for
// this life.
func (w *Worker) following(earlier *Worker) *Worker {
	sameLife := earlier != nil && earlier.Born == w.Born
	keepsLoaded := sameLife && w.Loaded == "" && earlier.Loaded != ""
	leaves := sameLife && earlier.Draining && !w.Draining
	if !keepsLoaded && !leaves && w.ColdLeft <= 0 {
		return w
	}
	merged := *w
	if keepsLoaded {
		merged.Loaded = earlier.Loaded
	}
	merged.Draining = w.Draining || leaves
	if w.ColdLeft > 0 {
		merged.ColdUntil = time.Now().Add(time.Duration(w.ColdLeft) * time.Millisecond)
	}
	return &merged
}

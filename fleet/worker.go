package fleet

import (
	"cmp"
	"time"
)

// GroupState is the state of a worker in its group.
type GroupState string

// The states of a worker in its group.
const (
	// Joining workers load weights or wait for the other members of their group.
	Joining GroupState = "joining"
	// Ready workers have loaded the weights, so that their group can be opened.
	Ready GroupState = "ready"
	// Open workers belong to a group that takes requests at its head.
	Open GroupState = "open"
	// Closing workers belong to a group that takes no new requests and finishes those in flight.
	Closing GroupState = "closing"
	// Broken workers belong to a group that has lost a member.
	Broken GroupState = "broken"
)

// Membership is a worker's place in a group.
type Membership struct {
	// Group is the name of the group, empty if the worker is in none.
	Group string     `json:"group,omitempty"`
	Epoch int64      `json:"epoch,omitempty"`
	Rank  int        `json:"rank,omitempty"`
	State GroupState `json:"state,omitempty"`
}

// SameGroup reports whether m and other have the same group and epoch.
func (m Membership) SameGroup(other Membership) bool {
	return m.Group == other.Group && m.Epoch == other.Epoch
}

// Worker is the entry of one worker process, as the worker describes itself.
type Worker struct {
	// ID names the worker. A restarted worker has another id, or the same id and another start
	// time.
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Domain is the fabric domain. All workers of a replica belong to the same one.
	Domain   string `json:"domain,omitempty"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
	// StartedAt is when the process started, in Unix milliseconds; 0 if the worker does not report
	// it.
	StartedAt int64 `json:"born,omitempty"`
	// HeartbeatCount counts the heartbeats of the process up to this entry.
	HeartbeatCount int64 `json:"beat,omitempty"`
	// ColdRemainingMillis is how much longer the worker expected to be cold when it wrote the
	// entry, in milliseconds. A worker is cold while it warms up; daemons may limit the requests to
	// it.
	ColdRemainingMillis int64 `json:"cold,omitempty"`
	// ColdUntil is the time from which this daemon treats the worker as warm: the time of receipt
	// plus ColdRemainingMillis. Since the entry takes time to arrive, this errs on the late side.
	ColdUntil time.Time `json:"-"`
	// Loaded is the model of the process's last group, or empty if it was in none. The worker can
	// join another group of that model without loading weights.
	Loaded string `json:"loaded,omitempty"`
	// Staged lists the models whose weights are on the worker's host.
	Staged []string   `json:"staged,omitempty"`
	Member Membership `json:"member"`
}

// HasStaged reports whether the model's weights are on the worker's host.
func (w *Worker) HasStaged(model string) bool {
	for _, s := range w.Staged {
		if s == model {
			return true
		}
	}
	return false
}

// isOlderThan reports whether the worker wrote this entry before the other one.
func (w *Worker) isOlderThan(other *Worker) bool {
	return cmp.Or(cmp.Compare(w.StartedAt, other.StartedAt), cmp.Compare(w.HeartbeatCount, other.HeartbeatCount)) < 0
}

// isHead reports whether the worker is the head of a group or belongs to a service without groups.
// Requests are sent to such workers only.
func (w *Worker) isHead() bool {
	return w.Domain == "" || w.Member.Group != "" && w.Member.Rank == 0
}

// mergedWith returns entry w completed from an earlier entry of the same process. If w names no
// loaded model, the earlier one is kept, since a worker that left its group still holds the
// weights. A worker that was marked as leaving stays so. ColdUntil is set if the worker is cold.
func (w *Worker) mergedWith(earlier *Worker) *Worker {
	sameProcess := earlier != nil && earlier.StartedAt == w.StartedAt
	keepsModel := sameProcess && w.Loaded == "" && earlier.Loaded != ""
	isLeaving := sameProcess && earlier.Draining && !w.Draining
	if !keepsModel && !isLeaving && w.ColdRemainingMillis <= 0 {
		return w
	}
	merged := *w
	if keepsModel {
		merged.Loaded = earlier.Loaded
	}
	merged.Draining = w.Draining || isLeaving
	if w.ColdRemainingMillis > 0 {
		merged.ColdUntil = time.Now().Add(time.Duration(w.ColdRemainingMillis) * time.Millisecond)
	}
	return &merged
}

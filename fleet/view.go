package fleet

import (
	"cmp"
	"slices"
)

// Replica is an open group of workers, or a single worker of a service without groups.
type Replica struct {
	// ID is the key of the group, or the id of the worker.
	ID      string
	Service string
	// Model is empty for services without an engine.
	Model string
	// Head is the worker that receives the requests.
	Head *Worker
}

// View is an immutable snapshot of the workers and replicas.
type View struct {
	workers  map[string]*Worker
	replicas map[string][]*Replica
	// leaving counts the replicas whose head is leaving, or may have left.
	leaving map[string]int
}

// newView derives the replicas from the listed workers and the announcements. A replica whose head
// is leaving, or for which isUsable returns false, takes no more requests. If another member is
// leaving, the replica takes requests until its leader closes it, since a leaving member stays while
// its head has requests in flight.
func newView(workers map[string]*Worker, announcements map[string]pendingAnnouncement, isUsable func(id string) bool) *View {
	v := &View{workers: make(map[string]*Worker, len(workers)), replicas: make(map[string][]*Replica), leaving: make(map[string]int)}
	for id, w := range workers {
		v.workers[id] = w
	}
	byHead := make(map[string]Announcement, len(announcements))
	for _, a := range announcements {
		if held, ok := byHead[a.Head]; !ok || held.Epoch < a.Epoch {
			byHead[a.Head] = a.Announcement
		}
	}
	for _, w := range workers {
		r := replicaHeadedBy(w, byHead[w.ID])
		if r == nil {
			continue
		}
		key := replicaKey(r.Service, r.Model)
		if w.Draining || !isUsable(w.ID) {
			v.leaving[key]++
			continue
		}
		v.replicas[key] = append(v.replicas[key], r)
	}
	for _, all := range v.replicas {
		slices.SortFunc(all, func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// replicaHeadedBy returns the replica that a worker heads according to the list or a newer
// announcement, or nil.
func replicaHeadedBy(w *Worker, a Announcement) *Replica {
	if w.Domain == "" {
		return &Replica{ID: w.ID, Service: w.Service, Head: w}
	}
	m, model := w.Member, w.Loaded
	if a.Group != "" && (a.Epoch > m.Epoch || a.Group == m.Group && a.Epoch == m.Epoch) {
		listedAsEnded := a.Epoch == m.Epoch && (m.State == Closing || m.State == Broken)
		if !a.Open || listedAsEnded {
			return nil
		}
		m, model = Membership{Group: a.Group, Epoch: a.Epoch, State: Open}, a.Model
	}
	if m.Group == "" || m.Rank != 0 || m.State != Open {
		return nil
	}
	return &Replica{ID: GroupKey(m), Service: w.Service, Model: model, Head: w}
}

func replicaKey(service, model string) string { return service + "\x00" + model }

// Worker returns the worker with the given id.
func (v *View) Worker(id string) (*Worker, bool) {
	w, ok := v.workers[id]
	return w, ok
}

// Workers returns all workers by id. The map must not be modified.
func (v *View) Workers() map[string]*Worker { return v.workers }

// Replicas returns the replicas of a service and model, sorted by id. The model is empty for
// services without an engine.
func (v *View) Replicas(service, model string) []*Replica {
	return v.replicas[replicaKey(service, model)]
}

// Leaving returns the number of replicas of a service and model that take no more requests because
// their head is leaving, or may have left.
func (v *View) Leaving(service, model string) int { return v.leaving[replicaKey(service, model)] }

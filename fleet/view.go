package fleet

import (
	"cmp"
	"slices"
)

// Replica is a group of workers, or a single worker of a service without an
// engine, that takes requests.
type Replica struct {
	// ID names the replica: group and epoch, or the worker.
	ID      string
	Service string
	// Model is empty for services without an engine.
	Model string
	// Head is the worker that takes the requests.
	Head *Worker
}

// View is the workers and replicas at one moment. It is never changed.
type View struct {
	workers  map[string]*Worker
	replicas map[string][]*Replica
	// leaving counts the replicas whose head leaves.
	leaving map[string]int
}

// newView derives the replicas from copies of what is listed and announced. A
// replica whose head leaves takes no more requests. One whose other member
// leaves does until its leader closes it: that member stays while the head has
// work.
func newView(workers map[string]*Worker, announced map[string]heldAnnouncement) *View {
	v := &View{workers: make(map[string]*Worker, len(workers)), replicas: make(map[string][]*Replica), leaving: make(map[string]int)}
	for id, w := range workers {
		v.workers[id] = w
	}
	byHead := make(map[string]Announcement, len(announced))
	for _, a := range announced {
		if held, ok := byHead[a.Head]; !ok || held.Epoch < a.Epoch {
			byHead[a.Head] = a.Announcement
		}
	}
	for _, w := range workers {
		r := replicaAt(w, byHead[w.ID])
		if r == nil {
			continue
		}
		key := replicaKey(r.Service, r.Model)
		if w.Draining {
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

// replicaAt returns the replica that a worker heads, by the list or by a newer
// announcement, or nil.
func replicaAt(w *Worker, a Announcement) *Replica {
	if w.Domain == "" {
		return &Replica{ID: w.ID, Service: w.Service, Head: w}
	}
	m, model := w.Member, w.Loaded
	if a.Group != "" && (a.Epoch > m.Epoch || a.Group == m.Group && a.Epoch == m.Epoch) {
		listedAsOver := a.Epoch == m.Epoch && (m.State == Closing || m.State == Broken)
		if !a.Open || listedAsOver {
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

// Workers returns all workers by id. The map must not be changed.
func (v *View) Workers() map[string]*Worker { return v.workers }

// Replicas returns the replicas of a service that serve a model, sorted by id.
// For services without an engine the model is empty.
func (v *View) Replicas(service, model string) []*Replica {
	return v.replicas[replicaKey(service, model)]
}

// Leaving returns how many replicas of a service and model take nothing more because
// their head leaves.
func (v *View) Leaving(service, model string) int { return v.leaving[replicaKey(service, model)] }

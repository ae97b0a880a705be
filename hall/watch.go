// Package hall tracks the data halls that an operator has closed. It determines when a closed hall
// is empty, that is, no daemon sends requests to it any more and no requests are running in it.
// The configuration says which halls are closed. Routing requests is left to other packages.
package hall

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/catalog"
	"quartzshelf.dev/config"
	"quartzshelf.dev/rpc"
)

// State is the state of a data hall.
type State string

// States of a data hall.
const (
	// Open halls accept requests.
	Open State = "open"
	// Closing halls are closed but may not be empty. Some daemons may not have learned of the
	// closing yet, or requests may still be running in the hall.
	Closing State = "closing"
	// Empty halls are closed. No daemon sends requests to them, and none are running in them.
	Empty State = "empty"
)

const (
	// closeDelay is the maximum time for which some daemon may still send requests to a closed
	// hall. A daemon without updates stops serving after 10 s (package daemon), and a change takes
	// up to 3 s to reach the others.
	closeDelay = 13 * time.Second
	// loadReportDelay is the maximum age of a replica's load report when it arrives (package
	// replica).
	loadReportDelay = 2 * time.Second
	// pollInterval is the time between two checks of the halls.
	pollInterval = 200 * time.Millisecond
)

// Options configures a Watch.
type Options struct {
	Config  func() *config.View
	Catalog *catalog.Catalog
	// CountReached returns the number of daemons that answered this one since the given time, and
	// the number of all daemons. Both include this daemon.
	CountReached func(since time.Time) (reached, members int)
	// InFlight returns the number of requests that this daemon has in flight at a replica or at a
	// node of a service.
	InFlight func(id string) int
	// Daemons returns the number of daemons in each data hall.
	Daemons func() map[string]int
	// ServeWindow is the maximum age of a domain's newest report at which its replicas still serve.
	ServeWindow time.Duration
	Logger      hclog.Logger
}

// Watch tracks the state of data halls. It is safe for concurrent use.
type Watch struct {
	opts Options
	done chan struct{}

	mu     sync.Mutex
	closed map[string]*closedHall
}

// closedHall is the record of a closed hall.
type closedHall struct {
	// revision is the revision of the document that closes the hall.
	revision int64
	// closedAt is when this daemon learned of the closing.
	closedAt time.Time
	// earliestEmptyAt is the earliest time at which the hall may be considered empty. By then, all
	// daemons have stopped sending to it, and the load reports include all requests that they sent.
	earliestEmptyAt time.Time
	isEmpty         bool
}

// NewWatch returns a watch, which is started by Run.
func NewWatch(opts Options) *Watch {
	return &Watch{opts: opts, done: make(chan struct{}), closed: make(map[string]*closedHall)}
}

// Done is closed when Run has returned.
func (w *Watch) Done() <-chan struct{} { return w.done }

// Run checks the halls until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		w.update(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// update applies the current configuration and marks the closed halls that have become empty.
func (w *Watch) update(now time.Time) {
	view := w.opts.Config()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range view.Halls() {
		if h.Closed() {
			w.recordClosed(view, h.Name(), now)
		}
	}
	for name, c := range w.closed {
		if !view.Hall(name).Closed() {
			delete(w.closed, name)
			w.opts.Logger.Info("data hall open", "hall", name, "after_ms", now.Sub(c.closedAt).Milliseconds())
			continue
		}
		if !c.isEmpty && len(w.obstacles(name, c, now)) == 0 {
			c.isEmpty = true
			w.opts.Logger.Info("data hall empty", "hall", name, "after_ms", now.Sub(c.closedAt).Milliseconds())
		}
	}
}

// recordClosed records that a hall is closed. A new revision of its document starts a new record,
// as the hall may have been opened and closed again between two checks.
func (w *Watch) recordClosed(view *config.View, name string, now time.Time) {
	object, _ := view.Object(config.Key{Kind: config.KindDataHall, Name: name})
	if c, ok := w.closed[name]; ok && c.revision == object.Revision() {
		return
	}
	w.closed[name] = &closedHall{
		revision: object.Revision(), closedAt: now,
		earliestEmptyAt: now.Add(closeDelay + w.opts.ServeWindow + loadReportDelay),
	}
	w.opts.Logger.Info("data hall closed", "hall", name, "revision", object.Revision())
}

// obstacles returns the reasons why a closed hall may not be empty yet.
func (w *Watch) obstacles(name string, c *closedHall, now time.Time) []string {
	var all []string
	if remaining := c.earliestEmptyAt.Sub(now); remaining > 0 {
		all = append(all, fmt.Sprintf("daemons that get the news late may still send to it for up to %d s", wholeSeconds(remaining)))
	}
	// Without a majority, this daemon may be on the smaller side of a network partition, and the
	// daemons on the other side may still send requests to the hall.
	if reached, members := w.opts.CountReached(c.closedAt); 2*reached < members {
		all = append(all, fmt.Sprintf("only %d of %d daemons have answered since it was closed", reached, members))
	}
	var inFlight int
	for _, report := range w.opts.Catalog.Reports() {
		if report.DataHall != name {
			continue
		}
		if _, deadline, _ := w.opts.Catalog.TokenAndDeadline(report.Domain); !now.Before(deadline) {
			all = append(all, "nothing was heard from the leader of its domain "+report.Domain)
		}
		inFlight += w.countInFlight(report)
	}
	if inFlight > 0 {
		all = append(all, fmt.Sprintf("%d requests are in flight", inFlight))
	}
	return all
}

// countInFlight returns the number of requests in flight in a domain. For each replica it counts
// the reported number or that of this daemon, whichever is higher. Nodes of services report no
// number, so only the requests of this daemon are counted there.
func (w *Watch) countInFlight(report *rpc.DomainReport) int {
	sum := 0
	for _, r := range w.opts.Catalog.InDomain(report.Domain) {
		sum += max(r.Load().Active()+r.Load().Queue(), w.opts.InFlight(r.ID()))
	}
	for _, n := range report.Nodes {
		if n.State == rpc.NodeState_SERVICE {
			sum += w.opts.InFlight(n.Id)
		}
	}
	return sum
}

// wholeSeconds returns a duration in seconds, rounded up.
func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// Count returns the number of halls in a state.
func (w *Watch) Count(state State) int {
	n := 0
	for _, s := range w.Statuses(time.Now()) {
		if s.State == state {
			n++
		}
	}
	return n
}

// Status is the status of a data hall as shown to operators.
type Status struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  State  `json:"state"`
	// Revision is the revision of the hall's document, zero if there is none.
	Revision int64 `json:"revision"`
	Daemons  int   `json:"daemons"`
	Nodes    int   `json:"nodes"`
	// Replicas is the number of replicas in the hall that can serve requests.
	Replicas int `json:"replicas"`
	InFlight int `json:"in_flight"`
	// Obstacles lists the reasons why a closing hall may not be empty yet.
	Obstacles []string `json:"obstacles,omitempty"`
}

// Statuses returns the status of each hall that a document of the configuration, a report of a
// domain or a daemon names, sorted by name.
func (w *Watch) Statuses(now time.Time) []Status {
	view := w.opts.Config()
	byName := make(map[string]*Status)
	statusOf := func(name string) *Status {
		if byName[name] == nil {
			byName[name] = &Status{Name: name}
		}
		return byName[name]
	}
	for _, h := range view.Halls() {
		statusOf(h.Name())
	}
	for name, daemons := range w.opts.Daemons() {
		statusOf(name).Daemons = daemons
	}
	for _, report := range w.opts.Catalog.Reports() {
		s := statusOf(report.DataHall)
		s.Nodes += len(report.Nodes)
		s.InFlight += w.countInFlight(report)
		for _, r := range report.Replicas {
			if r.Serving {
				s.Replicas++
			}
		}
	}
	delete(byName, "")
	all := make([]Status, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		w.fillState(view, byName[name], now)
		all = append(all, *byName[name])
	}
	return all
}

// fillState sets the region, revision, state and obstacles of a hall.
func (w *Watch) fillState(view *config.View, s *Status, now time.Time) {
	object, _ := view.Object(config.Key{Kind: config.KindDataHall, Name: s.Name})
	s.Region, s.Revision, s.State = view.Hall(s.Name).Region(), object.Revision(), Open
	if !view.Hall(s.Name).Closed() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.closed[s.Name]
	switch {
	case !ok || c.revision != s.Revision:
		s.State, s.Obstacles = Closing, []string{"it was closed just now"}
	case c.isEmpty:
		s.State = Empty
	default:
		s.State, s.Obstacles = Closing, w.obstacles(s.Name, c, now)
	}
}

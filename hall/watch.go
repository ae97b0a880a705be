// Package hall follows which data halls an operator has closed, and tells when a closed
// one is empty: no daemon sends to it any more, and nothing runs there. It decides
// nothing about requests; what is closed stands in the configuration.
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

// The states of a data hall.
const (
	// Open halls get requests.
	Open State = "open"
	// Closing halls get none from this daemon; others may not know yet, or requests
	// are still running there.
	Closing State = "closing"
	// Empty halls are closed, every daemon that takes requests knows it, and nothing
	// runs there.
	Empty State = "empty"
)

const (
	// inForce is how long after a closing some daemon may still send to the hall: one
	// that gets no news stops taking requests after 10 s (package daemon), and 3 s more
	// are the users' limit for news to spread.
	inForce = 13 * time.Second
	// loadLag is how old a load report of a replica may be (package replica).
	loadLag = 2 * time.Second
	// lookEvery is how often the halls are looked at; people wait for the answer.
	lookEvery = 200 * time.Millisecond
)

// Options configures a Watch.
type Options struct {
	Config  func() *config.View
	Catalog *catalog.Catalog
	// Reached returns how many daemons, this one included, answered since the given
	// time, and how many there are.
	Reached func(since time.Time) (reached, members int)
	// InFlight returns how many requests this daemon has in flight at a replica or a
	// service's node.
	InFlight func(id string) int
	// Daemons returns how many daemons run in each data hall.
	Daemons func() map[string]int
	// ServeWindow is how old the newest report of a domain may be.
	ServeWindow time.Duration
	Logger      hclog.Logger
}

// Watch is safe for concurrent use.
type Watch struct {
	opts Options
	done chan struct{}

	mu     sync.Mutex
	closed map[string]*closing
}

// closing is a hall that is closed.
type closing struct {
	// revision of the document that closes the hall.
	revision int64
	// closedAt is when this daemon learnt of it.
	closedAt time.Time
	// quietAt is when the loads that replicas report hold no request any more that was
	// sent before every daemon knew.
	quietAt time.Time
	empty   bool
}

// NewWatch returns a watch; Run makes it work.
func NewWatch(opts Options) *Watch {
	return &Watch{opts: opts, done: make(chan struct{}), closed: make(map[string]*closing)}
}

// Done is closed when Run has returned.
func (w *Watch) Done() <-chan struct{} { return w.done }

// Run looks at the halls until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		w.look(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// look takes over what the configuration says, and finds which halls are empty now.
func (w *Watch) look(now time.Time) {
	view := w.opts.Config()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range view.Halls() {
		if h.Closed() {
			w.noteClosed(view, h.Name(), now)
		}
	}
	for name, c := range w.closed {
		if !view.Hall(name).Closed() {
			delete(w.closed, name)
			w.opts.Logger.Info("data hall open", "hall", name, "after_ms", now.Sub(c.closedAt).Milliseconds())
			continue
		}
		if !c.empty && len(w.obstacles(name, c, now)) == 0 {
			c.empty = true
			w.opts.Logger.Info("data hall empty", "hall", name, "after_ms", now.Sub(c.closedAt).Milliseconds())
		}
	}
}

// noteClosed notes that a hall is closed. A new revision may stand for an opening and
// another closing between two looks, so it begins anew.
func (w *Watch) noteClosed(view *config.View, name string, now time.Time) {
	object, _ := view.Object(config.Key{Kind: config.KindDataHall, Name: name})
	if c, ok := w.closed[name]; ok && c.revision == object.Revision() {
		return
	}
	w.closed[name] = &closing{
		revision: object.Revision(), closedAt: now,
		quietAt: now.Add(inForce + w.opts.ServeWindow + loadLag),
	}
	w.opts.Logger.Info("data hall closed", "hall", name, "revision", object.Revision())
}

// obstacles returns why a closed hall is not known to be empty.
func (w *Watch) obstacles(name string, c *closing, now time.Time) []string {
	var all []string
	if left := c.quietAt.Sub(now); left > 0 {
		all = append(all, fmt.Sprintf("daemons that get the news late may still send to it for up to %d s", seconds(left)))
	}
	// Daemons that are cut off go on while more than half of them reach each other.
	if reached, members := w.opts.Reached(c.closedAt); 2*reached < members {
		all = append(all, fmt.Sprintf("only %d of %d daemons have answered since it was closed", reached, members))
	}
	var running int
	for _, report := range w.opts.Catalog.Reports() {
		if report.DataHall != name {
			continue
		}
		if _, deadline, _ := w.opts.Catalog.Current(report.Domain); !now.Before(deadline) {
			all = append(all, "nothing was heard from the leader of its domain "+report.Domain)
		}
		running += w.inFlight(report)
	}
	if running > 0 {
		all = append(all, fmt.Sprintf("%d requests are in flight", running))
	}
	return all
}

// inFlight returns how many requests run in a domain: those that replicas reported, or
// those of this daemon where these are more. Nodes of services report none.
func (w *Watch) inFlight(report *rpc.DomainReport) int {
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

// seconds returns a duration in whole seconds, rounded up.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// Count returns how many halls are in each state.
func (w *Watch) Count(state State) int {
	n := 0
	for _, s := range w.Statuses(time.Now()) {
		if s.State == state {
			n++
		}
	}
	return n
}

// Status is what operators see of a data hall. It is a message, hence its exported
// fields.
type Status struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  State  `json:"state"`
	// Revision of the hall's document, zero for none.
	Revision int64 `json:"revision"`
	Daemons  int   `json:"daemons"`
	Nodes    int   `json:"nodes"`
	// Replicas is how many replicas are formed there and could serve.
	Replicas int `json:"replicas"`
	InFlight int `json:"in_flight"`
	// Obstacles say why a closing hall is not known to be empty.
	Obstacles []string `json:"obstacles,omitempty"`
}

// Statuses returns the status of every hall that a document, a domain or a daemon
// names, sorted by name.
func (w *Watch) Statuses(now time.Time) []Status {
	view := w.opts.Config()
	byName := make(map[string]*Status)
	of := func(name string) *Status {
		if byName[name] == nil {
			byName[name] = &Status{Name: name}
		}
		return byName[name]
	}
	for _, h := range view.Halls() {
		of(h.Name())
	}
	for name, daemons := range w.opts.Daemons() {
		of(name).Daemons = daemons
	}
	for _, report := range w.opts.Catalog.Reports() {
		s := of(report.DataHall)
		s.Nodes += len(report.Nodes)
		s.InFlight += w.inFlight(report)
		for _, r := range report.Replicas {
			if r.Serving {
				s.Replicas++
			}
		}
	}
	delete(byName, "")
	all := make([]Status, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		w.judge(view, byName[name], now)
		all = append(all, *byName[name])
	}
	return all
}

// judge fills in the state of a hall.
func (w *Watch) judge(view *config.View, s *Status, now time.Time) {
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
	case c.empty:
		s.State = Empty
	default:
		s.State, s.Obstacles = Closing, w.obstacles(s.Name, c, now)
	}
}

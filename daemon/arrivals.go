package daemon

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/eventlog"
)

// streamArrivals is the log stream on which daemons announce themselves.
const streamArrivals = "arrivals"

// maxArrivals bounds the arrivals kept.
const maxArrivals = 2000

// arrival announces a daemon.
type arrival struct {
	Name string `json:"name" cbor:"1,keyasint"`
	Peer string `json:"peer" cbor:"2,keyasint"`
}

// arrivals folds the stream of arrivals: daemons that start later find the
// others by it when the seeds of their settings are gone.
type arrivals struct {
	mu    sync.Mutex
	peers map[string]string
	order []string
}

var _ eventlog.State = (*arrivals)(nil)

func newArrivals() *arrivals {
	return &arrivals{peers: make(map[string]string)}
}

// addresses returns the peer addresses of the daemons that arrived, the newest last.
func (a *arrivals) addresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]string, 0, len(a.order))
	for _, name := range a.order {
		all = append(all, a.peers[name])
	}
	return all
}

// others reports whether any daemon but the given one arrived.
func (a *arrivals) others(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.order) > 1 || len(a.order) == 1 && a.order[0] != name
}

// Apply implements eventlog.State.
func (a *arrivals) Apply(_ cluster.Record, data json.RawMessage) {
	var news arrival
	if json.Unmarshal(data, &news) != nil || news.Name == "" || news.Peer == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(news)
}

func (a *arrivals) add(news arrival) {
	if _, known := a.peers[news.Name]; !known {
		a.order = append(a.order, news.Name)
	}
	a.peers[news.Name] = news.Peer
	if len(a.order) > maxArrivals {
		delete(a.peers, a.order[0])
		a.order = a.order[1:]
	}
}

// Checkpoint implements eventlog.State.
func (a *arrivals) Checkpoint() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]arrival, 0, len(a.order))
	for _, name := range a.order {
		all = append(all, arrival{Name: name, Peer: a.peers[name]})
	}
	return cbor.Marshal(all)
}

// Restore implements eventlog.State.
func (a *arrivals) Restore(data []byte) error {
	var all []arrival
	if err := cbor.Unmarshal(data, &all); err != nil {
		return fmt.Errorf("decode checkpoint of arrivals: %w", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers, a.order = make(map[string]string), nil
	for _, news := range all {
		a.add(news)
	}
	return nil
}

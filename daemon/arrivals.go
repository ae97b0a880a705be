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

// maxArrivals is the largest number of announced daemons that are kept. The oldest are
// dropped first.
const maxArrivals = 2000

// arrival is the record with which a daemon announces itself.
type arrival struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	PeerAddress string `json:"peer" cbor:"2,keyasint"`
}

// arrivals holds the peer addresses of the daemons that announced themselves in the log.
// A daemon uses them to find others when none of its seeds is available.
type arrivals struct {
	mu sync.Mutex
	// addresses holds the peer address of each daemon by name.
	addresses map[string]string
	// names are the daemons' names in the order in which they first appeared.
	names []string
}

var _ eventlog.State = (*arrivals)(nil)

func newArrivals() *arrivals {
	return &arrivals{addresses: make(map[string]string)}
}

// peerAddresses returns the peer addresses of all announced daemons, in the order in
// which they first appeared.
func (a *arrivals) peerAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]string, 0, len(a.names))
	for _, name := range a.names {
		all = append(all, a.addresses[name])
	}
	return all
}

// hasOther reports whether any daemon other than the named one was announced.
func (a *arrivals) hasOther(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.names) > 1 || len(a.names) == 1 && a.names[0] != name
}

// Apply implements eventlog.State.
func (a *arrivals) Apply(_ cluster.Record, data json.RawMessage) {
	var arrived arrival
	if json.Unmarshal(data, &arrived) != nil || arrived.Name == "" || arrived.PeerAddress == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(arrived)
}

func (a *arrivals) add(arrived arrival) {
	if _, known := a.addresses[arrived.Name]; !known {
		a.names = append(a.names, arrived.Name)
	}
	a.addresses[arrived.Name] = arrived.PeerAddress
	if len(a.names) > maxArrivals {
		delete(a.addresses, a.names[0])
		a.names = a.names[1:]
	}
}

// Checkpoint implements eventlog.State.
func (a *arrivals) Checkpoint() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]arrival, 0, len(a.names))
	for _, name := range a.names {
		all = append(all, arrival{Name: name, PeerAddress: a.addresses[name]})
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
	a.addresses, a.names = make(map[string]string), nil
	for _, arrived := range all {
		a.add(arrived)
	}
	return nil
}

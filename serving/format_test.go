package serving

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/common/wiretest"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// TestEarlierAnswers checks that this build reads and still writes every field of the messages
// that daemons of the first format version exchanged over HTTP.
func TestEarlierAnswers(t *testing.T) {
	tests := map[string]func() any{
		"workers":   func() any { return &changesMessage{} },
		"decisions": func() any { return &fleet.Decisions{} },
		"leave":     func() any { return &leaveMessage{} },
		"verdict":   func() any { return &verdictMessage{} },
	}
	for name, newMessage := range tests {
		t.Run(name, func(t *testing.T) {
			recorded, err := os.ReadFile("testdata/format-1/" + name + ".json")
			assert.NilError(t, err)
			lost, err := wiretest.Lost(recorded, newMessage())
			assert.NilError(t, err)
			assert.Equal(t, len(lost), 0, "not understood: %v", lost)
			filled := newMessage()
			wiretest.Fill(filled)
			missing, err := wiretest.Missing(recorded, filled)
			assert.NilError(t, err)
			assert.Equal(t, len(missing), 0, "not written any more: %v", missing)
		})
	}
}

// headerBytes is the length of the header before the message in a datagram.
const headerBytes = 17

// toFirstFormat converts a datagram to the first format version by removing the fields that later
// versions added. It returns a datagram unchanged if that fails.
func toFirstFormat(datagram []byte) []byte {
	body, err := io.ReadAll(flate.NewReader(bytes.NewReader(datagram[headerBytes:])))
	if err != nil {
		return datagram
	}
	var m any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if decoder.Decode(&m) != nil {
		return datagram
	}
	removeAddedFields(m)
	body, err = json.Marshal(m)
	if err != nil {
		return datagram
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return datagram
	}
	// Writing to a buffer never fails.
	_, _ = w.Write(body)
	_ = w.Close()
	return append(bytes.Clone(datagram[:headerBytes]), packed.Bytes()...)
}

// removeAddedFields removes from a message the fields that later versions added.
func removeAddedFields(m any) {
	fields, ok := m.(map[string]any)
	if !ok {
		return
	}
	for _, part := range []string{"hb", "hall", "fleet"} {
		if inner, ok := fields[part].(map[string]any); ok {
			for _, added := range []string{"f", "b", "bp"} {
				delete(inner, added)
			}
		}
	}
	known, _ := fields["known"].([]any)
	for _, identity := range known {
		if inner, ok := identity.(map[string]any); ok {
			delete(inner, "f")
			delete(inner, "b")
		}
	}
}

// newEarlierTransport wraps a transport so that the daemon using it acts like a daemon with the
// first format version.
func newEarlierTransport(t peers.Transport) peers.Transport {
	return peers.Transport{
		Send: func(to string, datagram []byte) error { return t.Send(to, toFirstFormat(datagram)) },
		Receive: func(buffer []byte) (int, error) {
			n, err := t.Receive(buffer)
			if err != nil {
				return n, err
			}
			return copy(buffer, toFirstFormat(buffer[:n])), nil
		},
		Close: t.Close,
	}
}

// mixedFleet is a fleet in three halls, in which some daemons use an earlier format version.
type mixedFleet struct {
	daemons []*Server
	// usesEarlier holds, by the index of a daemon, whether it uses the earlier version. stops holds
	// the functions that stop the daemons.
	usesEarlier []bool
	stops       []context.CancelFunc
}

func newMixedFleet(t *testing.T, perHall int, usesEarlier func(inHall int) bool) *mixedFleet {
	t.Helper()
	const halls = 3
	network := &fakeNetwork{random: rand.New(rand.NewPCG(1, 1)), inboxes: make(map[string]chan []byte)}
	f := &mixedFleet{}
	var tasks conc.WaitGroup
	for i := range halls * perHall {
		id := fmt.Sprintf("daemon-%03d", i)
		store, transport := &fakeStore{}, network.transport(id)
		if usesEarlier(i % perHall) {
			transport = newEarlierTransport(transport)
		}
		s, err := New(Options{
			Self:   peers.Identity{ID: id, Incarnation: 1, Zone: fmt.Sprintf("hall-%d", i/perHall), Address: id},
			Bounds: Bounds{WorkerHeartbeatInterval: time.Second, AddressTTL: time.Second}, Transport: transport,
			Source: store.source(), MemberList: MemberList{Register: store.register, Read: store.read}, Logger: hclog.NewNullLogger(),
		})
		assert.NilError(t, err)
		f.daemons, f.usesEarlier = append(f.daemons, s), append(f.usesEarlier, usesEarlier(i%perHall))
	}
	for _, s := range f.daemons {
		for _, other := range f.daemons {
			s.agent.Table().Learn(other.opts.Self, time.Now())
		}
		ctx, cancel := context.WithCancel(context.Background())
		f.stops = append(f.stops, cancel)
		tasks.Go(func() { s.agent.Run(ctx) })
	}
	t.Cleanup(func() {
		for _, end := range f.stops {
			end()
		}
		tasks.Wait()
		// Wait until the datagrams in transit have arrived.
		time.Sleep(time.Second)
	})
	return f
}

// assertFormat checks which version the daemons of this build consider the oldest in use.
func (f *mixedFleet) assertFormat(t *testing.T, want int) {
	t.Helper()
	for i, s := range f.daemons {
		if !f.usesEarlier[i] {
			assert.Equal(t, s.agent.Table().OldestFormat(time.Now()), want, "%s, a %s", s.opts.Self.ID, s.agent.Role())
		}
	}
}

// TestMixedFleetUsesOldestFormat runs daemons of an earlier version in a fleet with relays. All
// others must keep to the earlier version, even if the relays use the earlier one as well. Some
// time after the earlier daemons stopped, they must switch to this build's version.
func TestMixedFleetUsesOldestFormat(t *testing.T) {
	tests := map[string]struct {
		perHall int
		isEarly func(inHall int) bool
	}{
		"half of 300":                         {100, func(i int) bool { return i%2 == 0 }},
		"the relays":                          {30, func(i int) bool { return i < 2 }},
		"all but the relays":                  {30, func(i int) bool { return i >= 2 }},
		"one of a hall, which does not relay": {30, func(i int) bool { return i == 25 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newMixedFleet(t, test.perHall, test.isEarly)
				time.Sleep(5 * time.Second)
				f.assertFormat(t, peers.FormatFirst)
				for i, end := range f.stops {
					if f.usesEarlier[i] {
						end()
					}
				}
				time.Sleep(5 * time.Second)
				f.assertFormat(t, peers.FormatFirst)
				time.Sleep(10 * time.Second)
				f.assertFormat(t, peers.FormatBackpressure)
			})
		})
	}
}

// TestNoLimitSharesWithEarlierDaemons checks that daemons send nothing to a worker that reported a
// limit while a daemon of an earlier version is in use, because that one ignores limits. Afterwards
// they must share the limit.
func TestNoLimitSharesWithEarlierDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signal := func(h http.Header, _ time.Duration) bool {
			h.Set(signalHeaders.Signals.Limit, "1.5")
			return true
		}
		limited, other := &signalHead{id: "limited", signal: signal, processingTime: 30 * time.Millisecond}, &signalHead{id: "other", processingTime: 30 * time.Millisecond}
		f := newSignalFleet(t, 3, 2, limited, other)
		for _, s := range f.daemons {
			s.signals.Observe(&fleet.Worker{ID: "limited"}, backpressure.Signal{Limited: true, PerSecond: 1.5}, time.Now(), time.Now())
			s.agent.Table().NoteFormat(peers.FormatFirst, time.Now())
		}
		f.sendLoad(30, 8*time.Second)
		assert.Equal(t, limited.countArrivals(0, 8*time.Second), 0)
		f.sendLoad(30, 12*time.Second)
		assert.Assert(t, limited.countArrivals(12*time.Second, 20*time.Second) > 0)
		assert.Equal(t, f.served, f.sent)
	})
}

// TestAddedFieldsAreRemoved checks that removeAddedFields removes only the added fields.
func TestAddedFieldsAreRemoved(t *testing.T) {
	m := map[string]any{"id": "a", "hb": map[string]any{"f": 1, "bp": 1, "cv": 3}, "known": []any{map[string]any{"f": 1, "id": "b"}}}
	removeAddedFields(m)
	data, err := json.Marshal(m)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(data), `"f"`) && strings.Contains(string(data), `"cv":3`))
}

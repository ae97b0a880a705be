package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// eventReader returns one event per read.
type eventReader struct {
	event []byte
	left  int
}

func (r *eventReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	return copy(p, r.event), nil
}

// BenchmarkEvent measures the time per event of a stream, without the network. It covers finding
// the event's end and ID, and forwarding it.
func BenchmarkEvent(b *testing.B) {
	b.ReportAllocs()
	reader := &eventReader{event: []byte("id: 17\ndata: 0123456789012345678901234567890123456789012345678901234567890\n\n"), left: b.N}
	recorder := httptest.NewRecorder()
	recorder.Body = nil
	e := &exchange{response: &http.Response{Body: io.NopCloser(reader), Header: http.Header{}}}
	s := &relayedStream{w: recorder, memory: bufferlimit.NewMemory(bufferlimit.New(0), "")}
	b.ResetTimer()
	if err := s.copyEvents(e, func(time.Time) {}, func() {}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkChoose measures one choice among 400 replicas with loads reported by three sources.
// Connections to the heads of 16 replicas are kept.
func BenchmarkChoose(b *testing.B) {
	const replicas, sources, connected = 400, 3, 16
	now := time.Unix(1000, 0)
	tracker := NewTracker("z", func(*fleet.Replica) {})
	u := newUpstream()
	var all []*fleet.Replica
	var loads peers.Loads
	for i := range replicas {
		r := testReplica(fmt.Sprintf("r%d", i), "z")
		all = append(all, r)
		loads = append(loads, peers.Load{Replica: r.ID, InFlight: i % 9})
		if i%(replicas/connected) == 0 {
			u.idle[r.Head.ID] = []*connection{{worker: r.Head.ID, idleSince: time.Now(), closeAt: time.Now().Add(time.Hour)}}
		}
	}
	for i := range sources {
		tracker.SetPeerLoads(fmt.Sprintf("hall%d", i), peers.Summary{Daemons: 40, Loads: loads}, now)
	}
	tests := map[string]func() map[string]bool{
		"without connections": func() map[string]bool { return nil },
		"with connections":    func() map[string]bool { return u.connectedWorkers(time.Hour) },
	}
	for name, kept := range tests {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c := testCosts
				c.connectedWorkers = kept()
				tracker.Choose(all, nil, c, 1000, now)
			}
		})
	}
}

package proxy

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	// herdDaemons choose among herdReplicas for herdArrivals requests, one each herdInterval, before
	// the loads of the others are reported again.
	herdDaemons, herdReplicas = 24, 8
	herdArrivals              = 36
	herdInterval              = time.Second / 90
	herdPromptTokens          = 250
	// herdInFlight is the number of requests in flight at the replicas that are not idle.
	herdInFlight = 22
)

// herd is a number of daemons that choose among the same replicas.
type herd struct {
	costs    costs
	replicas []*fleet.Replica
	trackers []*Tracker
}

func newHerd() *herd {
	h := &herd{costs: costsOf(simEngine, "m", simEngine.Slots)}
	h.costs.passTime = 100 * time.Millisecond
	for i := range herdReplicas {
		h.replicas = append(h.replicas, testReplica(fmt.Sprint("r", i), ""))
	}
	for range herdDaemons {
		h.trackers = append(h.trackers, NewTracker("", func(*fleet.Replica) {}))
	}
	return h
}

// choose lets the daemons choose for a number of requests, and counts the choices by replica.
func (h *herd) choose(t *testing.T, requests int, isSent bool) map[string]int {
	counts := make(map[string]int)
	for i := range requests {
		tracker := h.trackers[i%herdDaemons]
		chosen, ok := tracker.Choose(h.replicas, nil, h.costs, herdPromptTokens, time.Now())
		assert.Assert(t, ok)
		counts[chosen.Replica.ID]++
		if isSent {
			tracker.Reserve(chosen.Replica, herdPromptTokens)
		}
		time.Sleep(herdInterval)
	}
	return counts
}

// reportIdle reports the first replica as idle, and all others as busy.
func (h *herd) reportIdle() {
	var loads peers.Loads
	for _, r := range h.replicas[1:] {
		loads = append(loads, peers.Load{Replica: r.ID, InFlight: herdInFlight})
	}
	for i, tracker := range h.trackers {
		summary := peers.Summary{Daemons: herdDaemons - 1, Loads: loads, Age: 200}
		tracker.SetPeerLoads(strconv.Itoa(i+1), summary, time.Now())
	}
}

// TestIdleReplicaGetsNoHerd guards against daemons that all send their requests to the one idle
// replica until its load is reported, so that callers leave while their requests wait there.
func TestIdleReplicaGetsNoHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHerd()
		h.choose(t, 10*herdDaemons, false)
		h.reportIdle()
		atIdle := h.choose(t, herdArrivals, true)[h.replicas[0].ID]
		assert.Assert(t, atIdle <= simEngine.Slots, "%d of %d requests at the idle replica", atIdle, herdArrivals)
	})
}

package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/eligibility"
	"quartzshelf.dev/fleet"
)

func replicaAt(id, zone, domain string) *fleet.Replica {
	return &fleet.Replica{ID: id, Head: &fleet.Worker{ID: id, Zone: zone, Domain: domain}}
}

func TestIndependentReplicas(t *testing.T) {
	x1, x2, y1 := replicaAt("x1", "x", "d1"), replicaAt("x2", "x", "d2"), replicaAt("y1", "y", "d3")
	plain := replicaAt("p", "x", "")
	tests := map[string]struct {
		all    []*fleet.Replica
		failed []*fleet.Replica
		want   []*fleet.Replica
	}{
		"another hall comes first":  {all: []*fleet.Replica{x1, x2, y1}, failed: []*fleet.Replica{x1}, want: []*fleet.Replica{y1}},
		"another domain of a hall":  {all: []*fleet.Replica{x1, x2}, failed: []*fleet.Replica{x1}, want: []*fleet.Replica{x2}},
		"each hall had a failure":   {all: []*fleet.Replica{x1, x2, y1}, failed: []*fleet.Replica{x1, y1}, want: []*fleet.Replica{x2}},
		"nothing else is there":     {all: []*fleet.Replica{x1}, failed: []*fleet.Replica{x1}},
		"a worker without a domain": {all: []*fleet.Replica{plain}, failed: []*fleet.Replica{plain}, want: []*fleet.Replica{plain}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var failed []*fleet.Worker
			for _, f := range test.failed {
				failed = append(failed, f.Head)
			}
			got := independentReplicas(test.all, failed)
			assert.Equal(t, len(got), len(test.want))
			for i := range got {
				assert.Equal(t, got[i].ID, test.want[i].ID)
			}
		})
	}
}

// TestRetriesLeaveTheHall simulates the loss of all replicas of a data hall. Retries must go to the
// other hall.
func TestRetriesLeaveTheHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isStalled := func() bool { return true }
		var heads []*simHead
		for i := range 4 {
			heads = append(heads, &simHead{id: fmt.Sprint("dark", i), zone: "x", isStalled: isStalled}, &simHead{id: fmt.Sprint("lit", i), zone: "y"})
		}
		p := newSimulation(t, 8, heads...)
		for i := range 40 {
			p.call(i%8, fmt.Sprint(i), 0, fullTimeout)
		}
		p.calls.Wait()
		for i := range 40 {
			assert.Assert(t, p.isServed(fmt.Sprint(i)), "%d: %+v", i, p.results[fmt.Sprint(i)])
		}
	})
}

// TestUnreachableHeadsArePassedOver: a head that refuses a connection must be suspected at once,
// and peers must be notified. If the connection times out, the head is suspected only if it sent no
// event recently.
func TestUnreachableHeadsArePassedOver(t *testing.T) {
	tests := map[string]struct{ isRefused, hasRecentEvent, want bool }{
		"refused":                     {isRefused: true, want: true},
		"refused, but streams move":   {isRefused: true, hasRecentEvent: true, want: true},
		"timed out":                   {want: true},
		"timed out, but streams move": {hasRecentEvent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			notifications := 0
			tracker := NewTracker("", func(*fleet.Replica) { notifications++ })
			gone, there := testReplica("gone", ""), testReplica("there", "")
			if test.hasRecentEvent {
				tracker.RecordEvent(gone, &StreamWatch{}, now)
			}
			assert.Equal(t, tracker.MarkUnreachable(gone, test.isRefused, now), test.want)
			assert.Equal(t, isPassedOver(tracker, gone, now), test.want)
			if !test.want {
				return
			}
			tracker.RecordEvent(gone, &StreamWatch{}, now)
			assert.Equal(t, countChoices(tracker, []*fleet.Replica{gone, there}, now, 50)["gone"], 0)
			tracker.MarkUnreachable(gone, test.isRefused, now.Add(time.Second))
			assert.Equal(t, notifications, 1, "peers are notified once")
			assert.Assert(t, !isPassedOver(tracker, gone, now.Add(time.Minute)))
		})
	}
}

// TestFailuresThatMarkAHeadUnreachable: only a refused connection or a timeout of opening one marks
// a head as unreachable.
func TestFailuresThatMarkAHeadUnreachable(t *testing.T) {
	dialError := func(err error) error {
		return &sendError{cause: failure.Wrap(failure.Refused, "connect to worker", "w", &net.OpError{Op: "dial", Err: err})}
	}
	tests := map[string]struct {
		err  error
		want bool
	}{
		"refused":     {err: dialError(syscall.ECONNREFUSED), want: true},
		"timed out":   {err: dialError(os.ErrDeadlineExceeded), want: true},
		"no route":    {err: dialError(syscall.EHOSTUNREACH)},
		"cut off":     {err: &sendError{mayHaveArrived: true, cause: io.ErrUnexpectedEOF}},
		"turned away": {err: &sendError{cause: failure.Wrap(failure.Refused, "exchange with worker", "w", errRejected)}},
		"fell silent": {err: withCause(canceledContext(errReplicaSilent), "w", io.ErrUnexpectedEOF)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			marked := false
			r := &Proxy{opts: Options{Logger: hclog.NewNullLogger(), Tracker: NewTracker("", func(*fleet.Replica) { marked = true })}}
			r.recordHeadFailure(&request{}, testReplica("a", ""), test.err)
			assert.Equal(t, marked, test.want)
		})
	}
}

// canceledContext returns a context that is canceled with a cause.
func canceledContext(cause error) context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(cause)
	return ctx
}

// TestPeerSuspicionsOfUnusedReplicas: a replica reported by a peer is passed over even if this
// daemon has never used it.
func TestPeerSuspicionsOfUnusedReplicas(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker("", func(*fleet.Replica) {})
	silent, other := testReplica("silent", ""), testReplica("other", "")
	tracker.MarkSuspected("silent", now)
	assert.Equal(t, countChoices(tracker, []*fleet.Replica{silent, other}, now, 50)["silent"], 0)
	tracker.Reserve(silent, 0)
	assert.Assert(t, isPassedOver(tracker, silent, now.Add(time.Second)), "also after its first use")
	assert.Assert(t, !isPassedOver(tracker, silent, now.Add(suspicionPeriod)))
}

// isPassedOver reports whether choices pass over a replica.
func isPassedOver(t *Tracker, r *fleet.Replica, now time.Time) bool {
	suspects := t.suspectCheck(now)
	return suspects != nil && suspects(r)
}

// TestRandomPair: the two replicas must differ, and all replicas must be drawn equally often. If a
// service has fewer than three replicas, all are kept.
func TestRandomPair(t *testing.T) {
	const draws, n = 4000, 8
	var all []*fleet.Replica
	for i := range n {
		all = append(all, replicaAt(fmt.Sprint(i), "", ""))
	}
	r := &Proxy{}
	counts := make(map[string]int)
	for range draws {
		two := r.randomPair(all)
		assert.Equal(t, len(two), 2)
		assert.Assert(t, two[0] != two[1])
		counts[two[0].ID]++
		counts[two[1].ID]++
	}
	for id, count := range counts {
		// 1,000 are expected of each, with a standard deviation of 27.
		assert.Assert(t, count > 800 && count < 1200, "%s came %d times", id, count)
	}
	assert.Equal(t, len(r.randomPair(all[:2])), 2)
	assert.Equal(t, len(r.randomPair(nil)), 0)
}

// TestRandomPairSkipsSuspects: after a daemon's start, a random pair must not consist of
// suspected replicas while others are available.
func TestRandomPairSkipsSuspects(t *testing.T) {
	now := time.Now()
	var all []*fleet.Replica
	tracker := NewTracker("", func(*fleet.Replica) {})
	for i := range 8 {
		all = append(all, replicaAt(fmt.Sprint(i), "", ""))
		if i > 0 {
			tracker.MarkSuspected(fmt.Sprint(i), now)
		}
	}
	r := &Proxy{opts: Options{Tracker: tracker}, startedAt: now}
	rules := eligibility.Rules{IsSuspected: tracker.suspectCheck(now)}
	selection := rules.Select(&eligibility.Request{}, all)
	for range 50 {
		choice, ok := r.chooseFrom(&request{}, selection.InClass(eligibility.Eligible), nil, testCosts, now)
		assert.Assert(t, ok)
		assert.Equal(t, choice.Replica.ID, "0")
	}
}

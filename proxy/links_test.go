package proxy

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/fleet"
)

// newTestLinks returns links to the workers, of which reached tells how a connection to each ends:
// nil means that it hangs.
func newTestLinks(workers map[string]*fleet.Worker, dial func(address string) (isOpen, hangs bool)) *links {
	return &links{
		dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			isOpen, hangs := dial(address)
			switch {
			case hangs:
				<-ctx.Done()
				return nil, ctx.Err()
			case !isOpen:
				return refuseDial(ctx, "tcp", address)
			}
			near, far := net.Pipe()
			_ = far.Close()
			return near, nil
		},
		workers:        func() map[string]*fleet.Worker { return workers },
		suspectedHeads: func(time.Time) map[string]bool { return nil },
		onChange:       func(string, bool) {}, logger: hclog.NewNullLogger(), services: make(map[string]*serviceLinks),
	}
}

// workersOf returns workers of the services "models" and "plain".
func workersOf(models, plain int) map[string]*fleet.Worker {
	all := make(map[string]*fleet.Worker)
	add := func(service string, count int) {
		for i := range count {
			id := fmt.Sprintf("%s-%d", service, i)
			all[id] = &fleet.Worker{ID: id, Service: service, Address: id}
		}
	}
	add("models", models)
	add("plain", plain)
	return all
}

// TestLinksAndWorkersAreToldApart guards against workers that are blamed for this daemon's own links, and
// against links that are blamed for workers.
func TestLinksAndWorkersAreToldApart(t *testing.T) {
	tests := map[string]struct {
		models, plain int
		dial          func(address string) (isOpen, hangs bool)
		isUp          bool
		isPlainDown   bool
		areAllDown    bool
	}{
		"all are reached":             {models: 30, plain: 3, dial: func(string) (bool, bool) { return true, false }, isUp: true},
		"only the failed one is gone": {models: 2, plain: 1, dial: func(a string) (bool, bool) { return a != "models-0", false }, isUp: true},
		"a service with one worker":   {models: 1, plain: 3, dial: func(string) (bool, bool) { return false, false }, isUp: true},
		"all refuse":                  {models: 30, plain: 3, dial: func(string) (bool, bool) { return false, false }, isPlainDown: true, areAllDown: true},
		"all hang":                    {models: 30, plain: 3, dial: func(string) (bool, bool) { return false, true }, isPlainDown: true, areAllDown: true},
		"one service is cut off":      {models: 30, plain: 3, dial: func(a string) (bool, bool) { return a[0] == 'p', false }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				workers := workersOf(test.models, test.plain)
				l := newTestLinks(workers, test.dial)
				start := time.Now()
				assert.Equal(t, l.verify(t.Context(), workers["models-0"]), test.isUp)
				assert.Assert(t, time.Since(start) <= firstCheckTimeout+linkCheckTimeout)
				l.wait()
				assert.Equal(t, l.isDown("models"), !test.isUp)
				assert.Equal(t, l.isDown("plain"), test.isPlainDown)
				assert.Equal(t, l.areAllDown(), test.areAllDown)
				assert.Equal(t, len(l.downServices()) > 0, !test.isUp)
			})
		})
	}
}

// TestStallsWaitForTheCheck guards against reports of stalled replicas by a daemon whose own links
// are down.
func TestStallsWaitForTheCheck(t *testing.T) {
	for name, isOpen := range map[string]bool{"links are up": true, "links are down": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				workers := workersOf(10, 0)
				l := newTestLinks(workers, func(string) (bool, bool) { return isOpen, false })
				var reports atomic.Int64
				for range 5 {
					l.afterCheck(workers["models-0"], func() { reports.Add(1) })
				}
				l.wait()
				assert.Equal(t, reports.Load() == 5, isOpen)
				assert.Equal(t, reports.Load() == 0, !isOpen)
			})
		})
	}
}

// TestOlderCheckVouchesForNoFailure guards against replicas that are blamed for this daemon's links because
// a check that began before the links failed had reached other workers.
func TestOlderCheckVouchesForNoFailure(t *testing.T) {
	const dialTime = 40 * time.Millisecond
	tests := map[string]struct{ checkedBefore, failsAfter time.Duration }{
		"a check ended before":              {checkedBefore: 60 * time.Millisecond, failsAfter: 10 * time.Millisecond},
		"a check ended when the links fail": {checkedBefore: dialTime, failsAfter: time.Millisecond},
		"a check is under way":              {checkedBefore: 10 * time.Millisecond, failsAfter: 5 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				workers := workersOf(30, 0)
				var isDown atomic.Bool
				l := newTestLinks(workers, func(string) (bool, bool) {
					// The connection is accepted before its opening is known.
					isOpen := !isDown.Load()
					time.Sleep(dialTime)
					return isOpen, false
				})
				l.start("models", "models-0", time.Now())
				time.Sleep(test.checkedBefore)
				isDown.Store(true)
				time.Sleep(test.failsAfter)
				var blamed atomic.Int64
				for n := range 20 {
					l.afterCheck(workers[fmt.Sprint("models-", n)], func() { blamed.Add(1) })
				}
				assert.Assert(t, !l.verify(t.Context(), workers["models-1"]))
				l.wait()
				assert.Equal(t, blamed.Load(), int64(0))
			})
		})
	}
}

// TestFailuresShareChecks guards against a check for each of many failures.
func TestFailuresShareChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failures, period = 500, time.Second
		workers := workersOf(30, 0)
		var dials atomic.Int64
		l := newTestLinks(workers, func(string) (bool, bool) {
			dials.Add(1)
			return true, false
		})
		for range failures {
			l.afterCheck(workers["models-0"], func() {})
			time.Sleep(period / failures)
		}
		l.wait()
		assert.Assert(t, dials.Load() <= int64(linkCheckFirst*(period/minCheckInterval+1)), "%d connections", dials.Load())
	})
}

// TestLinksComeBack guards against links that stay down after a partition, or that count as up while
// only few workers are reached.
func TestLinksComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workersOf(60, 0)
		var openCount atomic.Int64
		l := newTestLinks(workers, func(address string) (bool, bool) {
			var index int64
			_, err := fmt.Sscanf(address, "models-%d", &index)
			return err == nil && index < openCount.Load(), false
		})
		sweepFor := func(period time.Duration) {
			for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(sweepInterval) {
				l.sweep(time.Now())
			}
		}
		assert.Assert(t, !l.verify(t.Context(), workers["models-59"]))
		sweepFor(10 * time.Second)
		assert.Assert(t, l.isDown("models"))
		openCount.Store(60)
		sweepFor(linkCheckInterval + linkCheckTimeout + 2*sweepInterval)
		assert.Assert(t, !l.isDown("models"))
		l.wait()
	})
}

// TestServicesWithLinksUpAreForgotten guards against a record for each service that ever had a check.
func TestServicesWithLinksUpAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLinks(workersOf(3, 0), func(string) (bool, bool) { return true, false })
		for i := range 50 {
			<-l.start(fmt.Sprint("service-", i), "", time.Now()).done
		}
		assert.Assert(t, l.verify(t.Context(), &fleet.Worker{Service: "models"}))
		l.sweep(time.Now())
		assert.Equal(t, len(l.services), 51, "results are reused for a while")
		time.Sleep(linkCheckTTL)
		l.sweep(time.Now())
		assert.Equal(t, len(l.services), 0)
		l.wait()
	})
}

// TestServicesWithoutWorkersAreForgotten guards against records that only grow.
func TestServicesWithoutWorkersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workersOf(10, 3)
		l := newTestLinks(workers, func(string) (bool, bool) { return false, false })
		l.verify(t.Context(), workers["models-0"])
		l.wait()
		assert.Equal(t, len(l.services), 2)
		clear(workers)
		l.sweep(time.Now().Add(linkCheckInterval))
		assert.Equal(t, len(l.services), 0)
	})
}

// TestLinksFollowTheWorkers draws which workers are reached. Links count as down only if no worker is
// reached that the check tried, and never while all are reached.
func TestLinksFollowTheWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 60).Draw(t, "workers")
		open := rapid.SliceOfN(rapid.Bool(), count, count).Draw(t, "open")
		workers, isOpen, openCount := workersOf(count, 0), make(map[string]bool), 0
		for i, o := range open {
			id := fmt.Sprintf("models-%d", i)
			// The failed worker, the first one, is not tried.
			if isOpen[id] = o; o && i > 0 {
				openCount++
			}
		}
		l := newTestLinks(workers, func(address string) (bool, bool) { return isOpen[address], false })
		isUp := l.verify(context.Background(), workers["models-0"])
		l.wait()
		if isUp != (openCount > 0) && (isUp || count-1-openCount < linkCheckWorkers) {
			t.Fatalf("up: %v, with %d of %d reached", isUp, openCount, count-1)
		}
	})
}

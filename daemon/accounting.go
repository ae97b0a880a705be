package daemon

import (
	"context"
	"sync"
	"time"

	"quartzshelf.dev/rpc"
)

const accountEvery = time.Second

// accounting sums up the two measures of the system as this daemon sees them.
type accounting struct {
	d *Daemon

	mu sync.Mutex
	// downtime is in replica-seconds, stranded in accelerator-seconds.
	downtime float64
	stranded float64
	dark     int
	idle     int
	last     time.Time
}

func newAccounting(d *Daemon) *accounting {
	a := &accounting{d: d, last: time.Now()}
	d.meter.Gauge("group_downtime_replica_seconds", func() float64 { return a.sums().DowntimeSeconds })
	d.meter.Gauge("stranded_accelerator_seconds", func() float64 { return a.sums().StrandedSeconds })
	d.meter.Gauge("dark_replicas", func() float64 { return float64(a.sums().DarkReplicas) })
	d.meter.Gauge("stranded_accelerators", func() float64 { return float64(a.sums().StrandedAccelerators) })
	d.meter.Gauge("requests_in_flight", func() float64 { return float64(d.gateway.Inflight().Total()) })
	d.meter.Gauge("members_alive", func() float64 { return float64(len(d.agent.Table().Alive())) })
	d.meter.Gauge("configuration_next", func() float64 { return float64(d.followers[streamConfiguration].Fold().Next()) })
	d.meter.Gauge("peer_bytes_received", func() float64 { return float64(d.dialer.traffic.received.Load()) })
	d.meter.Gauge("peer_bytes_sent", func() float64 { return float64(d.dialer.traffic.sent.Load()) })
	d.meter.Gauge("keys_kept", func() float64 { return float64(d.intents.Len()) })
	return a
}

// Sums are the two measures and what makes them up now.
type Sums struct {
	DowntimeSeconds      float64 `json:"group_downtime_replica_seconds"`
	StrandedSeconds      float64 `json:"stranded_accelerator_seconds"`
	DarkReplicas         int     `json:"dark_replicas"`
	StrandedAccelerators int     `json:"stranded_accelerators"`
}

func (a *accounting) sums() Sums {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Sums{
		DowntimeSeconds: a.downtime, StrandedSeconds: a.stranded,
		DarkReplicas: a.dark, StrandedAccelerators: a.idle,
	}
}

func (a *accounting) run(ctx context.Context) {
	ticker := time.NewTicker(accountEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.add(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// add counts the time since the last call with what is dark and stranded now.
func (a *accounting) add(now time.Time) {
	dark, idle := 0, 0
	for _, report := range a.d.catalog.Reports() {
		_, deadline, _ := a.d.catalog.Current(report.Domain)
		darkHere, idleHere := countDark(report, now.Before(deadline))
		dark += darkHere
		idle += idleHere
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	seconds := now.Sub(a.last).Seconds()
	a.last = now
	a.dark, a.idle = dark, idle
	a.downtime += seconds * float64(dark)
	a.stranded += seconds * float64(idle)
}

// countDark returns how many replicas of a domain do not serve and how many
// accelerators belong to no serving replica.
func countDark(report *rpc.DomainReport, current bool) (dark, idle int) {
	serving := make(map[string]bool)
	for _, r := range report.Replicas {
		if r.Serving && current {
			for _, n := range r.Nodes {
				serving[n] = true
			}
			continue
		}
		dark++
	}
	for _, n := range report.Nodes {
		if n.State != rpc.NodeState_SERVICE && !serving[n.Id] {
			idle += int(n.Accelerators)
		}
	}
	return dark, idle
}

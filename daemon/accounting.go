package daemon

import (
	"context"
	"sync"
	"time"

	"quartzshelf.dev/rpc"
)

const accountingInterval = time.Second

// accounting sums up the two measures of the system as this daemon sees them.
type accounting struct {
	daemon *Daemon

	mu sync.Mutex
	// downtimeReplicaSeconds is in replica-seconds, stranded in accelerator-seconds.
	downtimeReplicaSeconds     float64
	strandedAcceleratorSeconds float64
	darkReplicas               int
	strandedAccelerators       int
	updatedAt                  time.Time
}

func newAccounting(d *Daemon) *accounting {
	a := &accounting{daemon: d, updatedAt: time.Now()}
	d.meter.Gauge("group_downtime_replica_seconds", func() float64 { return a.sums().DowntimeSeconds })
	d.meter.Gauge("stranded_accelerator_seconds", func() float64 { return a.sums().StrandedSeconds })
	d.meter.Gauge("dark_replicas", func() float64 { return float64(a.sums().DarkReplicas) })
	d.meter.Gauge("stranded_accelerators", func() float64 { return float64(a.sums().StrandedAccelerators) })
	d.meter.Gauge("requests_in_flight", func() float64 { return float64(d.gateway.Inflight().Total()) })
	d.meter.Gauge("members_alive", func() float64 { return float64(len(d.agent.Table().Alive())) })
	d.meter.Gauge("configuration_next", func() float64 { return float64(d.followers[streamConfiguration].Fold().Next()) })
	d.meter.Gauge("peer_bytes_received", func() float64 { return float64(d.peerClients.traffic.received.Load()) })
	d.meter.Gauge("peer_bytes_sent", func() float64 { return float64(d.peerClients.traffic.sent.Load()) })
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
		DowntimeSeconds: a.downtimeReplicaSeconds, StrandedSeconds: a.strandedAcceleratorSeconds,
		DarkReplicas: a.darkReplicas, StrandedAccelerators: a.strandedAccelerators,
	}
}

func (a *accounting) run(ctx context.Context) {
	ticker := time.NewTicker(accountingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.update(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// update counts the time since the last call with what is dark and stranded now.
func (a *accounting) update(now time.Time) {
	dark, stranded := 0, 0
	for _, report := range a.daemon.catalog.Reports() {
		_, deadline, _ := a.daemon.catalog.Current(report.Domain)
		domainDark, domainStranded := countDarkAndStranded(report, now.Before(deadline))
		dark += domainDark
		stranded += domainStranded
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	seconds := now.Sub(a.updatedAt).Seconds()
	a.updatedAt = now
	a.darkReplicas, a.strandedAccelerators = dark, stranded
	a.downtimeReplicaSeconds += seconds * float64(dark)
	a.strandedAcceleratorSeconds += seconds * float64(stranded)
}

// countDarkAndStranded returns how many replicas of a domain do not serve and how many
// accelerators belong to no serving replica.
func countDarkAndStranded(report *rpc.DomainReport, isCurrent bool) (dark, stranded int) {
	serving := make(map[string]bool)
	for _, r := range report.Replicas {
		if r.Serving && isCurrent {
			for _, n := range r.Nodes {
				serving[n] = true
			}
			continue
		}
		dark++
	}
	for _, n := range report.Nodes {
		if n.State != rpc.NodeState_SERVICE && !serving[n.Id] {
			stranded += int(n.Accelerators)
		}
	}
	return dark, stranded
}

package daemon

import (
	"context"
	"sync"
	"time"

	"quartzshelf.dev/rpc"
)

const accountingInterval = time.Second

// accounting sums up the downtime of replicas and the time that accelerators were stranded,
// as far as this daemon sees the fleet. An accelerator is stranded while it belongs to no
// serving replica.
type accounting struct {
	daemon *Daemon

	mu                         sync.Mutex
	downtimeReplicaSeconds     float64
	strandedAcceleratorSeconds float64
	darkReplicas               int
	strandedAccelerators       int
	updatedAt                  time.Time
}

func newAccounting(d *Daemon) *accounting {
	a := &accounting{daemon: d, updatedAt: time.Now()}
	d.meter.ExportGauge("group_downtime_replica_seconds", func() float64 { return a.sums().DowntimeReplicaSeconds })
	d.meter.ExportGauge("stranded_accelerator_seconds", func() float64 { return a.sums().StrandedAcceleratorSeconds })
	d.meter.ExportGauge("dark_replicas", func() float64 { return float64(a.sums().DarkReplicas) })
	d.meter.ExportGauge("stranded_accelerators", func() float64 { return float64(a.sums().StrandedAccelerators) })
	d.meter.ExportGauge("requests_in_flight", func() float64 { return float64(d.gateway.InFlight().Total()) })
	d.meter.ExportGauge("members_alive", func() float64 { return float64(len(d.agent.Table().Alive())) })
	d.meter.ExportGauge("configuration_next", func() float64 { return float64(d.followers[streamConfiguration].Fold().Next()) })
	d.meter.ExportGauge("peer_bytes_received", func() float64 { return float64(d.peerClients.traffic.receivedBytes.Load()) })
	d.meter.ExportGauge("peer_bytes_sent", func() float64 { return float64(d.peerClients.traffic.sentBytes.Load()) })
	d.meter.ExportGauge("keys_kept", func() float64 { return float64(d.intents.Len()) })
	return a
}

// Sums holds the downtime in replica-seconds and the stranded time in accelerator-seconds,
// both since the daemon started. It also holds the current numbers of dark replicas and
// stranded accelerators. A replica is dark if it is reported but doesn't serve.
type Sums struct {
	DowntimeReplicaSeconds     float64 `json:"group_downtime_replica_seconds"`
	StrandedAcceleratorSeconds float64 `json:"stranded_accelerator_seconds"`
	DarkReplicas               int     `json:"dark_replicas"`
	StrandedAccelerators       int     `json:"stranded_accelerators"`
}

func (a *accounting) sums() Sums {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Sums{
		DowntimeReplicaSeconds: a.downtimeReplicaSeconds, StrandedAcceleratorSeconds: a.strandedAcceleratorSeconds,
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

// update counts the replicas that are dark and the accelerators that are stranded now. For each of
// them, it adds the time since the last update to the sum.
func (a *accounting) update(now time.Time) {
	dark, stranded := 0, 0
	for _, report := range a.daemon.catalog.Reports() {
		_, deadline, _ := a.daemon.catalog.TokenAndDeadline(report.Domain)
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

// countDarkAndStranded returns how many replicas of a domain don't serve, and how many
// accelerators belong to no serving replica. If the report is no longer current, no
// replica counts as serving. Nodes of plain services don't count.
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

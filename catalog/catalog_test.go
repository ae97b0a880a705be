package catalog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/rpc"
)

func report(domain string, epoch, version, beat uint64) *rpc.DomainReport {
	return &rpc.DomainReport{
		Domain: domain, Token: &rpc.Token{Epoch: epoch}, Version: version, Beat: beat, RemainingMicros: 6e6,
		Replicas: []*rpc.ReplicaReport{{Id: domain + "-0", Deployment: "chat", Serving: true, Generation: epoch}},
	}
}

func TestNewerReportWins(t *testing.T) {
	cases := map[string]struct {
		reports []*rpc.DomainReport
		want    uint64
	}{
		"an older epoch is ignored":           {[]*rpc.DomainReport{report("d", 2, 1, 1), report("d", 1, 9, 9)}, 2},
		"a newer epoch wins":                  {[]*rpc.DomainReport{report("d", 1, 9, 9), report("d", 2, 1, 1)}, 2},
		"a report without a token is ignored": {[]*rpc.DomainReport{report("d", 1, 1, 1), {Domain: "d"}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			catalog := New()
			for _, r := range c.reports {
				catalog.Merge([]*rpc.DomainReport{r}, time.Now())
			}
			r, ok := catalog.Replica("d-0")
			assert.Assert(t, ok)
			assert.Equal(t, r.Generation(), c.want)
		})
	}
}

// TestDeadlineIsNotExtendedByRelaying checks that a report that passes through three daemons with
// delays has no later deadline at the last daemon than at the first.
func TestDeadlineIsNotExtendedByRelaying(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, third := New(), New(), New()
		deadline := time.Now().Add(6 * time.Second)
		first.Publish(report("d", 1, 1, 1), deadline)
		deliver := func(from, to *Catalog) {
			base := time.Now()
			time.Sleep(300 * time.Millisecond)
			missing := from.MissingFrom(to.Digest())
			time.Sleep(700 * time.Millisecond)
			to.Merge(missing, base)
		}
		deliver(first, second)
		deliver(second, third)
		r, ok := third.Replica("d-0")
		assert.Assert(t, ok)
		assert.Assert(t, !r.Deadline().After(deadline))
		assert.Equal(t, len(third.Serving("chat", time.Now())), 1)
		time.Sleep(time.Until(deadline))
		assert.Equal(t, len(third.Serving("chat", time.Now())), 0)
	})
}

// TestRenewalOmitsKnownContent checks that a renewal omits the report's content if the receiver has
// it.
func TestRenewalOmitsKnownContent(t *testing.T) {
	from, to := New(), New()
	from.Publish(report("d", 1, 1, 1), time.Now().Add(time.Second))
	to.Merge(from.MissingFrom(nil), time.Now())
	renewed := report("d", 1, 1, 2)
	renewed.Loads = []uint32{3, 2, 16}
	from.Publish(renewed, time.Now().Add(time.Minute))
	missing := from.MissingFrom(to.Digest())
	assert.Equal(t, len(missing), 1)
	assert.Assert(t, missing[0].Unchanged && len(missing[0].Replicas) == 0)
	to.Merge(missing, time.Now())
	r, _ := to.Replica("d-0")
	assert.Equal(t, r.Load().Queue(), 3)
	assert.Assert(t, time.Until(r.Deadline()) > 10*time.Second)
}

// fullReport returns the report of a domain with 64 nodes that form four replicas.
func fullReport(domain string, beat uint64) *rpc.DomainReport {
	r := &rpc.DomainReport{Domain: domain, Token: &rpc.Token{Epoch: 12345}, Version: 1, Beat: beat, DataHall: "hall-a", Owner: "entry-123"}
	for i := range 4 {
		replica := &rpc.ReplicaReport{
			Id: fmt.Sprint("chat-", domain, "-", i), Deployment: "chat", Generation: 1 << 50, Serving: true,
			LeaderAddress: "10.20.30.40:8000", ModelVersion: "v1",
		}
		for n := range 16 {
			id := fmt.Sprintf("%s-n%02d", domain, i*16+n)
			replica.Nodes = append(replica.Nodes, id)
			r.Nodes = append(r.Nodes, &rpc.NodeReport{Id: id, State: rpc.NodeState_ASSIGNED, Accelerators: 4, Replica: replica.Id})
		}
		r.Replicas = append(r.Replicas, replica)
		r.Loads = append(r.Loads, 3, 12, 16)
	}
	return r
}

// BenchmarkRenewals measures one exchange of reports in which every domain has a renewal.
func BenchmarkRenewals(b *testing.B) {
	for _, domains := range []int{3, 25, 50, 100} {
		b.Run(fmt.Sprint(domains, " domains"), func(b *testing.B) {
			from, to := New(), New()
			for i := range domains {
				from.Publish(fullReport(fmt.Sprint("fabric-", i), 1), time.Now().Add(time.Hour))
			}
			fullBytes := 0
			for _, r := range from.MissingFrom(nil) {
				fullBytes += proto.Size(r)
			}
			to.Merge(from.MissingFrom(nil), time.Now())
			replyBytes, digestBytes := 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				b.StopTimer()
				for i := range domains {
					from.Publish(fullReport(fmt.Sprint("fabric-", i), uint64(n+2)), time.Now().Add(time.Hour))
				}
				b.StartTimer()
				q := &rpc.ExchangeRequest{Reports: to.Digest()}
				reply := &rpc.ExchangeReply{Reports: from.MissingFrom(q.Reports)}
				to.Merge(reply.Reports, time.Now())
				replyBytes, digestBytes = proto.Size(reply), proto.Size(q)
			}
			b.ReportMetric(float64(replyBytes), "renewal-bytes")
			b.ReportMetric(float64(digestBytes), "digest-bytes")
			b.ReportMetric(float64(fullBytes), "full-bytes")
		})
	}
}

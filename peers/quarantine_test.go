package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/quarantine"
)

// TestLargestQuarantineReportsFit guards against heartbeats that exceed a datagram while many requests
// and parts of prompts crash workers.
func TestLargestQuarantineReportsFit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	requests, parts, now := quarantine.NewTable(), quarantine.NewPartTable(), time.Unix(1_700_000_000, 0)
	for i := range 200 {
		part := quarantine.PartOf("account", fmt.Sprint("part-", i))
		for j := range 30 {
			ended := now.Add(time.Duration(j-40)*120*time.Millisecond + time.Duration(random.IntN(50))*time.Millisecond)
			crash := quarantine.Crash{Worker: fmt.Sprintf("i-%010x", random.Uint64()>>24), Sent: ended.Add(-time.Duration(random.IntN(300)) * time.Millisecond), Ended: ended}
			requests.Blame(quarantine.FingerprintOf("account", "POST", "h", fmt.Sprint(i), nil), crash, now)
			parts.BlameParts([]quarantine.Part{part}, crash, now)
		}
	}
	parts.Evaluate(now)
	h := &Heartbeat{Identity: Identity{ID: "daemon"}, Quarantine: requests.Report(now, true), QuarantineParts: parts.Report(now, true)}
	data, err := encode(&message{ID: "daemon", Heartbeat: h})
	assert.NilError(t, err)
	t.Logf("%d bytes, %d of them without parts", len(data), encodedLength(t, &Heartbeat{Identity: h.Identity, Quarantine: h.Quarantine}))
	assert.Assert(t, len(data) <= maxDatagramBytes/2, "%d bytes", len(data))
}

func encodedLength(t *testing.T, h *Heartbeat) int {
	t.Helper()
	data, err := encode(&message{ID: "daemon", Heartbeat: h})
	assert.NilError(t, err)
	return len(data)
}

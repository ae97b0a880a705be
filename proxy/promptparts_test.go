package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/quarantine"
)

// TestSharedPartIDs guards against prompts of callers that name anything.
func TestSharedPartIDs(t *testing.T) {
	many := strings.Repeat("a:1,", 10_000)
	tests := map[string]struct {
		prefix string
		want   []string
	}{
		"none":              {prefix: ""},
		"only its own part": {prefix: "own:200"},
		"two parts":         {prefix: "5c1e:800,own:200", want: []string{"5c1e"}},
		"with spaces":       {prefix: " 5c1e:800 , 91bd:10, own:200", want: []string{"5c1e", "91bd"}},
		"without tokens":    {prefix: "5c1e,own", want: []string{"5c1e"}},
		"empty parts":       {prefix: ",:5,,own:1"},
		"a huge ID":         {prefix: strings.Repeat("x", maxPartIDBytes+1) + ":1,b:2,own:1", want: []string{"b"}},
		"many parts":        {prefix: many, want: slices.Repeat([]string{"a"}, maxPromptParts)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, sharedPartIDs(test.prefix), test.want) })
	}
}

// quarantinePart quarantines a part of the prompts of the account "tenant".
func quarantinePart(t *testing.T, p *testProxy, id string) {
	t.Helper()
	table, began := p.guard.PartTable(), time.Now().Add(-5*time.Second)
	for i := range 5 {
		ended := began.Add(time.Duration(i) * 300 * time.Millisecond)
		table.BlameParts([]quarantine.Part{quarantine.PartOf("tenant", id)}, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended.Add(-time.Millisecond), Ended: ended}, time.Now())
	}
	p.guard.Sweep(time.Now())
	assert.Assert(t, p.guard.IsQuarantined(quarantine.PartOf("tenant", id).Fingerprint, time.Now()))
}

// TestQuarantinedPartIsNotSent guards against requests that are sent although one of their parts
// crashes workers, and against refusals for a part that belongs to the request alone.
func TestQuarantinedPartIsNotSent(t *testing.T) {
	tests := map[string]struct {
		prefix string
		status int
	}{
		"the part":                   {prefix: "shared:40,crashing:80,own:9", status: http.StatusServiceUnavailable},
		"another part":               {prefix: "shared:40,other:80,own:9", status: http.StatusOK},
		"the last part does not say": {prefix: "shared:40,crashing:80", status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newFakeWorker(t, "w")
			p, server := newTestProxy(t, worker)
			quarantinePart(t, p, "crashing")
			got := sendRequest(t, server, "/stream/", "a", func(r *http.Request) { r.Header.Set(testNames.Prefix, test.prefix) })
			assert.Equal(t, got.status, test.status)
			assert.Equal(t, worker.runs("a") > 0, test.status == http.StatusOK)
			assert.Equal(t, strings.Contains(got.body, "quarantined"), test.status != http.StatusOK)
		})
	}
}

// TestWaitingStreamIsCanceledWithItsPart guards against requests that wait at a worker while one of
// their parts is quarantined.
func TestWaitingStreamIsCanceledWithItsPart(t *testing.T) {
	worker := newFakeWorker(t, "w", waits)
	p, server := newTestProxy(t, worker)
	worker.onRequest = func() { quarantinePart(t, p, "crashing") }
	got := sendRequest(t, server, "/stream/", "a", func(r *http.Request) { r.Header.Set(testNames.Prefix, "crashing:80,own:9") })
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, worker.runs("a"), 1)
}

// TestAnsweredRunClearsParts guards against parts that stay under suspicion although runs with them are
// answered, and against crashing ones that a worker's error clears.
func TestAnsweredRunClearsParts(t *testing.T) {
	tests := map[string]struct {
		script  []behaviour
		crashes int
	}{
		"a whole answer":       {},
		"an error of a worker": {script: []behaviour{fails, fails, fails}, crashes: 1},
		"a client error":       {script: []behaviour{explains}, crashes: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newFakeWorker(t, "w", test.script...)
			p, server := newTestProxy(t, worker)
			part := quarantine.PartOf("tenant", "part")
			p.guard.PartTable().BlameParts([]quarantine.Part{part}, quarantine.Crash{Worker: "x", Sent: time.Now().Add(-time.Second), Ended: time.Now()}, time.Now())
			sendRequest(t, server, "/stream/", "a", func(r *http.Request) { r.Header.Set(testNames.Prefix, "part:80,own:9") })
			assert.Equal(t, p.guard.PartTable().State(part.Fingerprint, time.Now()).Crashes, test.crashes)
		})
	}
}

// TestTornEventIsABrokenConnection guards against crashes that are not seen because the answer has
// neither a length nor chunks.
func TestTornEventIsABrokenConnection(t *testing.T) {
	assert.Assert(t, errors.Is(errPartialEvent, io.ErrUnexpectedEOF))
}

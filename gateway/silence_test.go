package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/standin"
	"quartzshelf.dev/telemetry"
)

// endless is longer than any request may take.
const endless = 2 * requestTimeout

var errCut = errors.New("the connection was cut")

// pausingReplica is a replica that pauses before one of its tokens.
type pausingReplica struct {
	// pausesBefore is the index of the token before which the replica pauses; -1 if it never pauses.
	pausesBefore int
	pause        time.Duration
	// lastPause is how long the replica pauses before its last token.
	lastPause time.Duration
	// breaks is set if the replica cuts the connection after the pause.
	breaks bool
	runs   int
	// endedAt is when the replica sent its last event or noticed that its attempt was canceled.
	endedAt time.Time
}

// answer writes the replica's events until ctx ends.
func (p *pausingReplica) answer(ctx context.Context, w *io.PipeWriter, id string, first int) {
	defer func() { p.endedAt = time.Now() }()
	for i := first; i < tokenCount; i++ {
		if i == p.pausesBefore {
			pause.Sleep(ctx, p.pause)
			if p.breaks {
				_ = w.CloseWithError(errCut)
				return
			}
		}
		if i == tokenCount-1 {
			pause.Sleep(ctx, p.lastPause)
		}
		if ctx.Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"text\":%q}]}\n\n", id, i, standin.Token(testPrompt, i)); err != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	_ = w.Close()
}

// pausingReplicas sends requests to replicas without a network. It implements http.RoundTripper.
type pausingReplicas map[string]*pausingReplica

func (all pausingReplicas) RoundTrip(r *http.Request) (*http.Response, error) {
	var body struct {
		Resume []string `json:"resume"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	replica := all[r.URL.Host]
	replica.runs++
	reader, writer := io.Pipe()
	context.AfterFunc(r.Context(), func() { _ = reader.CloseWithError(r.Context().Err()) })
	go replica.answer(r.Context(), writer, r.Header.Get(cluster.HeaderRequest), len(body.Resume))
	header := http.Header{"Content-Type": {"text/event-stream"}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: reader, Request: r}, nil
}

// choose returns a chooser that takes the replicas by name.
func (all pausingReplicas) choose(tried map[string]bool) (*target, *refusal) {
	for _, name := range []string{"a", "b", "c"} {
		if all[name] != nil && !tried[name] {
			return &target{id: name, address: name, mayServe: func(time.Time) bool { return true }, finish: func() {}}, nil
		}
	}
	return nil, refuse(reason.NoReplica, "no replica is left")
}

// endedRuns returns how often the replicas ran the request. It fails if one of them still does.
func (all pausingReplicas) endedRuns(t *testing.T) int {
	runs := 0
	for id, replica := range all {
		runs += replica.runs
		assert.Equal(t, replica.runs > 0, !replica.endedAt.IsZero(), "replica %s", id)
	}
	return runs
}

func newSilenceGateway(t *testing.T, all pausingReplicas, retries float64) *Gateway {
	meter, err := telemetry.NewMeter()
	assert.NilError(t, err)
	state := config.NewState()
	applyDocuments(t, state)
	g := New(Options{Config: state.View, Meter: meter, IsLeaving: func() bool { return false }})
	g.upstream.reusingClient.Transport, g.upstream.singleUseClient.Transport = all, all
	g.retryBudget.availableRetries = retries
	return g
}

// relaySilent relays one stream and returns its body.
func relaySilent(t *testing.T, g *Gateway, all pausingReplicas, repeatable bool) []byte {
	account, ok := g.opts.Config().AccountByKey("demo-key")
	assert.Assert(t, ok)
	r := &request{
		id: "request-1", account: account, method: http.MethodPost, path: "/v1/completions", header: http.Header{},
		body: []byte(`{"model":"chat","prompt":"prompt","stream":true}`), repeatable: repeatable, arrivedAt: time.Now(),
		memory: bufferlimit.NewMemory(g.bufferLimit, account.Name()),
	}
	r.deadline = r.arrivedAt.Add(requestTimeout)
	r.ctx, r.cancel = context.WithDeadline(t.Context(), r.deadline)
	defer r.cancel()
	tried := make(map[string]bool)
	a, refused := g.openAttempt(r.ctx, r, r.body, all.choose, tried, func(time.Time) bool { return true })
	assert.Assert(t, refused == nil, "%v", refused)
	var body bytes.Buffer
	newStreamRelay(g, r, bufio.NewWriter(&body), all.choose, tried, nil).run(a)
	return body.Bytes()
}

// TestSilenceAloneEndsNoAnswer guards against the end of answers whose replicas only paused.
func TestSilenceAloneEndsNoAnswer(t *testing.T) {
	const silence = 4 * stallTimeout
	steady := pausingReplica{pausesBefore: -1}
	paused := pausingReplica{pausesBefore: 2, pause: silence}
	dead := pausingReplica{pausesBefore: 2, pause: endless}
	tests := map[string]struct {
		replicas  map[string]pausingReplica
		isKeyed   bool
		noRetries bool
		// wantEnd is when the answer should end, and wantRuns is how often the replicas should run it.
		wantEnd  time.Duration
		wantRuns int
		// isCut is set if the answer should end with an error.
		isCut bool
	}{
		"no other replica":                     {replicas: map[string]pausingReplica{"a": paused}, wantEnd: silence, wantRuns: 1},
		"must not be repeated":                 {replicas: map[string]pausingReplica{"a": paused, "b": steady}, isKeyed: true, wantEnd: silence, wantRuns: 1},
		"no retry left":                        {replicas: map[string]pausingReplica{"a": paused, "b": steady}, noRetries: true, wantEnd: silence, wantRuns: 1},
		"the other replica is dead":            {replicas: map[string]pausingReplica{"a": paused, "b": dead}, wantEnd: silence, wantRuns: 2},
		"the other replica breaks":             {replicas: map[string]pausingReplica{"a": paused, "b": {pausesBefore: 2, breaks: true}}, wantEnd: silence, wantRuns: 2},
		"dead, and the other continues":        {replicas: map[string]pausingReplica{"a": dead, "b": steady}, wantEnd: stallTimeout, wantRuns: 2},
		"dead, two others, the first dead":     {replicas: map[string]pausingReplica{"a": dead, "b": dead, "c": steady}, wantEnd: 2 * stallTimeout, wantRuns: 3},
		"breaks while the other one begins":    {replicas: map[string]pausingReplica{"a": {pausesBefore: 2, pause: 2 * stallTimeout, breaks: true}, "b": paused}, wantEnd: stallTimeout + silence, wantRuns: 2},
		"both are dead":                        {replicas: map[string]pausingReplica{"a": dead, "b": dead}, wantEnd: requestTimeout, wantRuns: 2, isCut: true},
		"dead, and it must not be repeated":    {replicas: map[string]pausingReplica{"a": dead, "b": steady}, isKeyed: true, wantEnd: requestTimeout, wantRuns: 1, isCut: true},
		"silent before the first event":        {replicas: map[string]pausingReplica{"a": {pausesBefore: 0, pause: silence}}, wantEnd: silence, wantRuns: 1},
		"dead before the first event":          {replicas: map[string]pausingReplica{"a": {pausesBefore: 0, pause: endless}, "b": steady}, wantEnd: stallTimeout, wantRuns: 2},
		"silent shortly, and nothing is begun": {replicas: map[string]pausingReplica{"a": {pausesBefore: 2, pause: stallTimeout - time.Second}, "b": steady}, wantEnd: stallTimeout - time.Second, wantRuns: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := make(pausingReplicas)
				for id, replica := range test.replicas {
					all[id] = &replica
				}
				retries := float64(initialRetryBudget)
				if test.noRetries {
					retries = 0
				}
				g := newSilenceGateway(t, all, retries)
				startedAt := time.Now()
				body := relaySilent(t, g, all, !test.isKeyed)
				assert.Equal(t, time.Since(startedAt), test.wantEnd, string(body))
				synctest.Wait()
				assert.Equal(t, all.endedRuns(t), test.wantRuns)
				text, isComplete := streamText(body)
				assert.Equal(t, isComplete, !test.isCut, string(body))
				assert.Assert(t, test.isCut || text == wantText(), text)
				assert.Assert(t, strings.HasPrefix(wantText(), text), text)
			})
		})
	}
}

// TestHedgesEndWhenTheStreamGoesOn guards against hedges that occupy a replica after the silent
// attempt has gone on.
func TestHedgesEndWhenTheStreamGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence = stallTimeout + time.Second
		all := pausingReplicas{
			"a": {pausesBefore: 2, pause: silence, lastPause: stallTimeout - time.Second},
			"b": {pausesBefore: 2, pause: endless},
		}
		g := newSilenceGateway(t, all, initialRetryBudget)
		startedAt := time.Now()
		body := relaySilent(t, g, all, true)
		synctest.Wait()
		text, isComplete := streamText(body)
		assert.Assert(t, isComplete && text == wantText(), string(body))
		assert.Equal(t, time.Since(startedAt), 2*stallTimeout)
		assert.Equal(t, all["b"].endedAt.Sub(startedAt), silence)
	})
}

// TestUnusedRetriesAreReturned guards against silent streams that use up the budget although no
// replica can take their hedges.
func TestUnusedRetriesAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := pausingReplicas{"a": {pausesBefore: 2, pause: 10 * stallTimeout}}
		g := newSilenceGateway(t, all, 2)
		body := relaySilent(t, g, all, true)
		_, isComplete := streamText(body)
		assert.Assert(t, isComplete, string(body))
		assert.Equal(t, g.retryBudget.availableRetries, 2.0)
	})
}

package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fastjson"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/admission"
	"quartzshelf.dev/catalog"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/proptest"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/eventlog"
	"quartzshelf.dev/intent"
	"quartzshelf.dev/rpc"
	"quartzshelf.dev/standin"
	"quartzshelf.dev/telemetry"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// behaviour is how a fake endpoint handles a request.
type behaviour string

const (
	answers                behaviour = "answers"
	refuses                behaviour = "refuses before the start"
	asksForRest            behaviour = "refuses before the start and asks for rest"
	truncates              behaviour = "runs and cuts off its answer"
	resets                 behaviour = "runs and cuts the connection"
	answersForOtherRequest behaviour = "runs and answers for another request"
	repeatsTokens          behaviour = "answers and repeats tokens"
	skipsToken             behaviour = "answers and leaves out a token"
	sendsInvalidEvent      behaviour = "answers with an event that is no JSON"
	crashes                behaviour = "runs and ends its process"
	crashesInAnswer        behaviour = "ends its process within its answer"
	sendsRaw               behaviour = "runs and sends the bytes of its raw answer"
	tokenCount                       = 6
	testPrompt                       = "prompt"
)

var randomBehaviours = []behaviour{answers, refuses, truncates, resets, answersForOtherRequest, repeatsTokens, skipsToken, sendsInvalidEvent}

// fakeEndpoint handles each request according to the next behaviour of its script. After the end of
// the script, it answers normally.
type fakeEndpoint struct {
	mu     sync.Mutex
	script []behaviour
	// onRequest is called for each request before it is handled.
	onRequest func()
	// raw is what sendsRaw sends.
	raw     string
	runs    int
	server  *http.Server
	address string
}

func newEndpoint(t testing.TB) *fakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &fakeEndpoint{address: l.Addr().String()}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	t.Cleanup(func() { _ = e.server.Close() })
	return e
}

// setScript sets the script and resets the run count.
func (e *fakeEndpoint) setScript(script []behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script, e.runs = script, 0
}

func (e *fakeEndpoint) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

func (e *fakeEndpoint) nextBehaviour() behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := answers
	if len(e.script) > 0 {
		b, e.script = e.script[0], e.script[1:]
	}
	if b != refuses && b != asksForRest {
		e.runs++
	}
	return b
}

// ServeHTTP implements http.Handler.
func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Stream bool     `json:"stream"`
		Resume []string `json:"resume"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	if e.onRequest != nil {
		e.onRequest()
	}
	id, b := r.Header.Get(cluster.HeaderRequest), e.nextBehaviour()
	switch b {
	case refuses, asksForRest:
		if b == asksForRest {
			w.Header().Set("Retry-After", "3600")
		}
		w.Header().Set(cluster.HeaderStarted, cluster.StartedNo)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case resets:
		panic(http.ErrAbortHandler)
	case sendsRaw:
		sendRaw(w, e.raw)
		return
	case crashes:
		_ = e.server.Close()
		panic(http.ErrAbortHandler)
	case answersForOtherRequest:
		id = "of-another-request"
	}
	if !body.Stream {
		e.writeUnstreamed(w, id, b)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := len(body.Resume); i < tokenCount; i++ {
		e.writeToken(w, id, i, b)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// sendRaw sends bytes in place of an answer, and leaves the connection open until the gateway closes it.
func sendRaw(w http.ResponseWriter, raw string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, raw)
	_, _ = c.Read(make([]byte, 1))
}

// promptFor returns the prompt whose tokens an endpoint with the behaviour sends.
func promptFor(b behaviour) string {
	if b == answersForOtherRequest {
		return "the prompt of another request"
	}
	return testPrompt
}

func (e *fakeEndpoint) writeUnstreamed(w http.ResponseWriter, id string, b behaviour) {
	var text strings.Builder
	for i := range tokenCount {
		text.WriteString(standin.Token(promptFor(b), i))
	}
	w.Header().Set(cluster.HeaderRequest, id)
	if b == truncates || b == crashesInAnswer {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "{")
		if b == crashesInAnswer {
			w.(http.Flusher).Flush()
			_ = e.server.Close()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, `{"id":%q,"choices":[{"text":%q}]}`, id, text.String())
}

func (e *fakeEndpoint) writeToken(w http.ResponseWriter, id string, i int, b behaviour) {
	const half = tokenCount / 2
	switch {
	case i == half && (b == truncates || b == crashesInAnswer):
		w.(http.Flusher).Flush()
		if b == crashesInAnswer {
			_ = e.server.Close()
		}
		panic(http.ErrAbortHandler)
	case i == half && b == skipsToken:
		return
	case i == half && b == sendsInvalidEvent:
		_, _ = io.WriteString(w, "data: {no json\n\n")
	}
	event := fmt.Sprintf("data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"text\":%q}]}\n\n", id, i, standin.Token(promptFor(b), i))
	_, _ = io.WriteString(w, event)
	if b == repeatsTokens {
		_, _ = io.WriteString(w, event)
	}
	w.(http.Flusher).Flush()
}

// harness is a gateway with fake endpoints and one replica address that nothing listens on.
type harness struct {
	endpoints   []*fakeEndpoint
	catalog     *catalog.Catalog
	configState *config.State
	log         *standin.Log
	gateway     *Gateway
	address     string
	// sentCount is the number of requests sent so far. It makes idempotency keys unique.
	sentCount int
}

const downAddress = "127.0.0.1:1"

func newHarness(t testing.TB) *harness {
	t.Helper()
	h := &harness{catalog: catalog.New(), log: standin.NewLog(standin.LogOptions{AppendsPerSecond: 1e6})}
	for range 3 {
		h.endpoints = append(h.endpoints, newEndpoint(t))
	}
	h.publishReport()
	meter, err := telemetry.NewMeter()
	assert.NilError(t, err)
	state := config.NewState()
	h.configState = state
	applyDocuments(t, state)
	h.gateway = New(Options{
		Config: state.View, Catalog: h.catalog, Ledger: h.newLedger(t), Meter: meter,
		Limiter:     admission.NewLimiter(admission.LimiterOptions{Daemons: func() int { return 1 }}),
		ClosedState: func() *Closed { return nil }, IsLeaving: func() bool { return false },
		Entries: func() []Entry { return nil }, EntriesValidUntil: func(now time.Time) time.Time { return now },
		DaemonCount: func() int { return 1 },
		NewID:       func() string { return fmt.Sprint("request-", rand.Uint64()) },
	})
	// The retry budget is not under test here.
	h.gateway.retryBudget.availableRetries = maxRetryBudget
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h.address = l.Addr().String()
	go func() { _ = h.gateway.Serve(l) }()
	t.Cleanup(func() { _ = h.gateway.Stop(time.Second) })
	return h
}

// newLedger returns an intent ledger that uses the harness's log.
func (h *harness) newLedger(t testing.TB) *intent.Ledger {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	state := intent.NewState(time.Hour)
	newID := func() string { return fmt.Sprint("id-", rand.Uint64()) }
	follower := eventlog.NewFollower(eventlog.FollowerOptions{
		Log: h.log, Stream: intent.Stream, State: state, Retention: time.Hour, NewID: newID,
		CheckpointDelay: func() time.Duration { return time.Hour },
	})
	ledger := intent.NewLedger(intent.Options{
		Self: "entry-1", State: state, Follower: follower, NewID: newID,
		FlushEvery: func() time.Duration { return time.Millisecond },
		Submit:     func(context.Context, intent.Key, cluster.Record) bool { return false },
	})
	go follower.Run(ctx)
	go ledger.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-ledger.Done()
		<-follower.Done()
	})
	<-follower.CaughtUp()
	return ledger
}

// publishReport publishes a report with one serving replica for each endpoint, and another one at
// an address that nothing listens on. It may be called again after endpoints have been added.
func (h *harness) publishReport() {
	report := &rpc.DomainReport{Domain: "fabric-1", Token: &rpc.Token{Epoch: 1}, Version: uint64(len(h.endpoints)), Beat: 1}
	addresses := []string{downAddress}
	for _, e := range h.endpoints {
		addresses = append(addresses, e.address)
	}
	for i, address := range addresses {
		report.Replicas = append(report.Replicas, &rpc.ReplicaReport{
			Id: fmt.Sprint("replica-", i), Deployment: "chat", Generation: 1, Serving: true, LeaderAddress: address,
		})
	}
	h.catalog.Publish(report, time.Now().Add(time.Hour))
}

func applyDocuments(t testing.TB, s *config.State) {
	t.Helper()
	text := `
{kind: Model, name: m, labels: {family: m}, spec: {version: v1}}
---
{kind: Deployment, name: chat, spec: {modelSelector: family=m, nodesPerReplica: 4}}
---
{kind: ClientAccount, name: demo, spec: {keyHashes: [` + config.HashKey("demo-key") + `]}}
`
	parsed, err := config.ParseFile("documents", text)
	assert.NilError(t, err)
	var set config.ChangeSet
	for _, p := range parsed {
		set.Changes = append(set.Changes, config.Change{Operation: config.OperationPut, Document: p.Document()})
	}
	data, err := set.Encode()
	assert.NilError(t, err)
	s.Apply(cluster.Record{}, data)
	assert.Equal(t, len(s.View().Deployments()), 1)
}

// receivedAnswer is the answer that a caller received.
type receivedAnswer struct {
	status int
	body   []byte
	header http.Header
}

func (o receivedAnswer) refusal() (ran reason.Ran, why reason.Reason) {
	var body struct {
		Ran    reason.Ran    `json:"ran"`
		Reason reason.Reason `json:"reason"`
	}
	_ = json.Unmarshal(o.body, &body)
	return body.Ran, body.Reason
}

// post sends a completion request.
func (h *harness) post(body string, header map[string]string) (receivedAnswer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return receivedAnswer{}, err
	}
	request.Header.Set("Authorization", "Bearer demo-key")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return receivedAnswer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return receivedAnswer{status: response.StatusCode, body: data, header: response.Header}, err
}

func (h *harness) runCount() int {
	sum := 0
	for _, e := range h.endpoints {
		sum += e.runCount()
	}
	return sum
}

// wantText returns the expected text of the answer.
func wantText() string {
	var text strings.Builder
	for i := range tokenCount {
		text.WriteString(standin.Token(testPrompt, i))
	}
	return text.String()
}

// streamText returns the text of a stream and whether it ended with the end-of-stream marker.
func streamText(body []byte) (string, bool) {
	var text strings.Builder
	for line := range bytes.SplitSeq(body, []byte("\n")) {
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if e, err := parseEvent(&fastjson.Parser{}, data); ok && err == nil {
			text.WriteString(e.text)
		}
	}
	return text.String(), bytes.HasSuffix(bytes.TrimSpace(body), []byte("[DONE]"))
}

// TestAnswersAreCompleteAndCorrect checks that a caller gets either a complete and correct answer
// or a refusal that states correctly whether its request ran. Requests that must not be repeated
// may run at most once. The behaviour of the endpoints and the kind of request are random.
func TestAnswersAreCompleteAndCorrect(t *testing.T) {
	h := newHarness(t)
	rapid.Check(t, func(rt *rapid.T) {
		for _, e := range h.endpoints {
			e.setScript(rapid.SliceOfN(rapid.SampledFrom(randomBehaviours), 3, 3).Draw(rt, "script"))
		}
		streamed := rapid.Bool().Draw(rt, "streamed")
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		hasKey := rapid.Bool().Draw(rt, "keyed")
		header := map[string]string{}
		if !repeatable {
			header[headerRepeatable] = valueNo
		}
		h.sentCount++
		if !repeatable && hasKey {
			header[headerIdempotencyKey] = fmt.Sprint("key-", h.sentCount, "-", rand.Uint64())
		}
		body := fmt.Sprintf(`{"model":"chat","prompt":%q,"stream":%v,"max_tokens":%d}`, testPrompt, streamed, tokenCount)
		got, err := h.post(body, header)
		if err != nil {
			rt.Fatalf("the gateway did not answer: %v", err)
		}
		h.checkAnswer(rt, got, streamed, repeatable)
	})
}

func (h *harness) checkAnswer(rt *rapid.T, got receivedAnswer, streamed, repeatable bool) {
	runs := h.runCount()
	if !repeatable && runs > 1 {
		rt.Fatalf("a request that must not be repeated ran %d times", runs)
	}
	if got.status != http.StatusOK {
		ran, why := got.refusal()
		if ran == "" || why == "" {
			rt.Fatalf("status %d without ran and reason: %s", got.status, got.body)
		}
		if ran == reason.RanNo && runs > 0 {
			rt.Fatalf("reported as not run (%s), but %d endpoints ran it", why, runs)
		}
		return
	}
	text, isComplete := answerText(got.body), true
	if streamed {
		text, isComplete = streamText(got.body)
	}
	if isComplete && text != wantText() {
		rt.Fatalf("a complete answer has the wrong text: %q", text)
	}
	if !strings.HasPrefix(wantText(), text) {
		rt.Fatalf("tokens are missing, repeated or from another request: %q", text)
	}
	if !isComplete && !bytes.Contains(got.body, []byte(`"ran":"unknown"`)) {
		rt.Fatalf("a stream ended early without an error: %s", got.body)
	}
}

func answerText(body []byte) string {
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) == 0 {
		return ""
	}
	return answer.Choices[0].Text
}

// TestSecondCallerGetsTheFirstOutcome checks that a second request with the same idempotency key
// gets the stored answer, and that the key is refused for a different body.
func TestSecondCallerGetsTheFirstOutcome(t *testing.T) {
	for name, streamed := range map[string]bool{"whole": false, "streamed": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			body := fmt.Sprintf(`{"model":"chat","prompt":"prompt","stream":%v}`, streamed)
			key := map[string]string{headerIdempotencyKey: "seat-12"}
			first, err := h.post(body, key)
			assert.NilError(t, err)
			assert.Equal(t, first.status, http.StatusOK, string(first.body))
			second, err := h.post(body, key)
			assert.NilError(t, err)
			assert.Equal(t, string(second.body), string(first.body))
			assert.Equal(t, second.header.Get(headerReplayed), "true")
			assert.Equal(t, h.runCount(), 1)
			other, err := h.post(`{"model":"chat","prompt":"other"}`, key)
			assert.NilError(t, err)
			_, why := other.refusal()
			assert.Equal(t, why, reason.KeyBodyMismatch)
			assert.Equal(t, h.runCount(), 1)
		})
	}
}

// TestKeyWithoutLog checks that requests with an idempotency key are refused while the log is
// unavailable. Other requests must be served.
func TestKeyWithoutLog(t *testing.T) {
	h := newHarness(t)
	h.log.SetFaults(standin.LogFaults{Outage: true})
	got, err := h.post(`{"model":"chat","prompt":"prompt"}`, map[string]string{headerIdempotencyKey: "k"})
	assert.NilError(t, err)
	ran, why := got.refusal()
	assert.Equal(t, ran, reason.RanNo)
	assert.Equal(t, why, reason.IntentLogUnavailable)
	assert.Equal(t, h.runCount(), 0)
	got, err = h.post(`{"model":"chat","prompt":"prompt"}`, nil)
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
}

// TestCompletionsAreChecked checks that completion requests which no engine could answer are
// refused.
func TestCompletionsAreChecked(t *testing.T) {
	tests := map[string]struct {
		chat bool
		body string
		want string
	}{
		"a chat":                    {chat: true, body: `{"model":"m","messages":[{"role":"user","content":"hello"}]}`},
		"a chat of parts":           {chat: true, body: `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]}`},
		"a call of tools":           {chat: true, body: `{"model":"m","messages":[{"role":"assistant","content":null,"tool_calls":[]}]}`},
		"a call without content":    {chat: true, body: `{"model":"m","messages":[{"role":"assistant","tool_calls":[]}]}`},
		"a text":                    {body: `{"model":"m","prompt":"hello","max_tokens":1}`},
		"texts":                     {body: `{"model":"m","prompt":["hello","you"]}`},
		"no JSON":                   {chat: true, body: `{"model":`, want: "not valid"},
		"no model":                  {chat: true, body: `{"messages":[{"role":"user","content":"x"}]}`, want: "model is missing"},
		"no messages":               {chat: true, body: `{"model":"m"}`, want: "messages is missing"},
		"null for messages":         {chat: true, body: `{"model":"m","messages":null}`, want: "messages is empty"},
		"messages of a wrong type":  {chat: true, body: `{"model":"m","messages":"hello"}`, want: "not a list"},
		"a message of a wrong type": {chat: true, body: `{"model":"m","messages":["hello"]}`, want: "not a list"},
		"an empty list":             {chat: true, body: `{"model":"m","messages":[]}`, want: "messages is empty"},
		"no role":                   {chat: true, body: `{"model":"m","messages":[{"content":"x"}]}`, want: "has no role"},
		"a number for content":      {chat: true, body: `{"model":"m","messages":[{"role":"user","content":5}]}`, want: "content is neither"},
		"no content":                {chat: true, body: `{"model":"m","messages":[{"role":"user"}]}`, want: "content is neither"},
		"no tokens wanted":          {chat: true, body: `{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"x"}]}`, want: "max_tokens is 0"},
		"fewer than none wanted":    {body: `{"model":"m","prompt":"x","max_tokens":-3}`, want: "max_tokens is -3"},
		"the same by its new name":  {body: `{"model":"m","prompt":"x","max_completion_tokens":-3}`, want: "max_completion_tokens is -3"},
		"a text for tokens":         {body: `{"model":"m","prompt":"x","max_tokens":"many"}`, want: "not valid"},
		"no prompt":                 {body: `{"model":"m"}`, want: "prompt is neither"},
		"a number for a prompt":     {body: `{"model":"m","prompt":5}`, want: "prompt is neither"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, refused := parseCompletion([]byte(test.body))
			if refused == nil {
				refused = r.validate(test.chat)
			}
			if test.want == "" {
				assert.Assert(t, refused == nil, "%v", refused)
				return
			}
			assert.Assert(t, refused != nil)
			assert.Equal(t, refused.status(), http.StatusBadRequest)
			assert.Equal(t, refused.ran, reason.RanNo)
			assert.ErrorContains(t, refused, test.want)
		})
	}
}

func TestWrongMethods(t *testing.T) {
	h := newHarness(t)
	for path, allowed := range map[string]string{
		"/v1/chat/completions": http.MethodPost, "/v1/completions": http.MethodPost,
		"/v1/models": http.MethodGet, "/v1/entries": http.MethodGet,
	} {
		t.Run(path, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodDelete, "http://"+h.address+path, nil)
			assert.NilError(t, err)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, response.StatusCode, http.StatusMethodNotAllowed)
			assert.Equal(t, response.Header.Get("Allow"), allowed)
		})
	}
}

func TestBadRequests(t *testing.T) {
	h := newHarness(t)
	cases := map[string]struct {
		body   string
		header map[string]string
		status int
		reason reason.Reason
	}{
		"broken JSON":   {`{"model":`, nil, http.StatusBadRequest, reason.BadRequest},
		"unknown model": {`{"model":"x"}`, nil, http.StatusNotFound, reason.UnknownModel},
		"wrong key":     {`{}`, map[string]string{"Authorization": "Bearer no"}, http.StatusUnauthorized, reason.Unauthorized},
		"no key":        {`{}`, map[string]string{"Authorization": ""}, http.StatusUnauthorized, reason.Unauthorized},
		"long key":      {`{}`, map[string]string{headerIdempotencyKey: strings.Repeat("k", 300)}, http.StatusBadRequest, reason.KeyInvalid},
		"large body":    {strings.Repeat(" ", DefaultMaxBodyBytes+1), nil, http.StatusRequestEntityTooLarge, reason.BodyTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := h.post(c.body, c.header)
			assert.NilError(t, err)
			assert.Equal(t, got.status, c.status, string(got.body))
			ran, why := got.refusal()
			assert.Equal(t, why, c.reason)
			assert.Equal(t, ran, reason.RanNo)
		})
	}
}

package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/rpc"
)

// hallHarness is a harness with one data hall for each endpoint. Each endpoint is both a replica
// and a service node.
type hallHarness struct {
	*harness
	mu sync.Mutex
	// configOffset is the log offset of the last configuration change.
	configOffset int64
	// epochs holds the epoch of the latest report of each domain.
	epochs []uint64
	// requestsToClosedHalls holds the data hall's name for each request that arrived in a closed
	// data hall.
	requestsToClosedHalls []string
}

func newHallHarness(t testing.TB) *hallHarness {
	t.Helper()
	h := &hallHarness{harness: newHarness(t), epochs: make([]uint64, 3)}
	h.catalog.Publish(&rpc.DomainReport{Domain: "fabric-1", Token: &rpc.Token{Epoch: 2}, Version: 1}, time.Now())
	h.putDocument("service ledger", config.KindService, "ledger", `{"nodeSelector":"quartzshelf/kind=service"}`)
	for i, e := range h.endpoints {
		h.publishAsNewLeader(i)
		h.setHallClosed(i, false)
		e.onRequest = func() { h.recordIfClosed(i) }
	}
	return h
}

func hallName(i int) string { return fmt.Sprint("hall-", i) }

// publishAsNewLeader publishes a report of the data hall's domain with the token of a new leader.
// The report has a new generation of the replica.
func (h *hallHarness) publishAsNewLeader(i int) {
	h.epochs[i]++
	address := h.endpoints[i].address
	h.catalog.Publish(&rpc.DomainReport{
		Domain: fmt.Sprint("domain-", i), DataHall: hallName(i), Version: 1, Beat: 1,
		Token: &rpc.Token{Epoch: h.epochs[i]},
		Replicas: []*rpc.ReplicaReport{{
			Id: fmt.Sprint("chat-", i), Deployment: "chat", Generation: h.epochs[i], Serving: true, LeaderAddress: address,
		}},
		Nodes: []*rpc.NodeReport{{Id: fmt.Sprint("service-", i), Address: address, State: rpc.NodeState_SERVICE}},
	}, time.Now().Add(time.Hour))
}

// putDocument replaces a document and returns the problem of the change, if any.
func (h *hallHarness) putDocument(id string, kind config.Kind, name, spec string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	object, _ := h.configState.View().Object(config.Key{Kind: kind, Name: name})
	set := config.ChangeSet{Changes: []config.Change{{
		Operation: config.OperationPut, Base: object.Revision(),
		Document: config.Document{Kind: kind, Name: name, Spec: json.RawMessage(spec)},
	}}}
	data, err := set.Encode()
	if err != nil {
		panic(err)
	}
	h.configOffset++
	h.configState.Apply(cluster.Record{Offset: h.configOffset, ID: id}, data)
	history := h.configState.History()
	return history[len(history)-1].Problem
}

// setHallClosed closes or opens a data hall. Halls 0 and 1 are in region south, hall 2 in north.
func (h *hallHarness) setHallClosed(i int, closed bool) {
	region := "south"
	if i == 2 {
		region = "north"
	}
	problem := h.putDocument("hall", config.KindDataHall, hallName(i), fmt.Sprintf(`{"region":%q,"closed":%v}`, region, closed))
	if problem != "" {
		panic(problem)
	}
}

func (h *hallHarness) isClosed(i int) bool { return h.configState.View().Hall(hallName(i)).Closed() }

// recordIfClosed records a request that arrived in a closed data hall.
func (h *hallHarness) recordIfClosed(i int) {
	if h.isClosed(i) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.requestsToClosedHalls = append(h.requestsToClosedHalls, hallName(i))
	}
}

// send sends a completion request or a repeatable service call.
func (h *hallHarness) send(service, streamed bool) (receivedAnswer, error) {
	if !service {
		return h.post(fmt.Sprintf(`{"model":"chat","prompt":%q,"stream":%v}`, testPrompt, streamed), nil)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+h.address+"/services/ledger/x", strings.NewReader("{}"))
	if err != nil {
		return receivedAnswer{}, err
	}
	request.Header.Set("Authorization", "Bearer demo-key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return receivedAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return receivedAnswer{status: response.StatusCode, body: data, header: response.Header}, err
}

// TestClosedHallGetsNoRequest checks that no request, retry, resumed stream or service call is sent
// to a closed data hall. While all halls are closed, requests must be refused with the right
// reason.
func TestClosedHallGetsNoRequest(t *testing.T) {
	h := newHallHarness(t)
	rapid.Check(t, func(rt *rapid.T) {
		for i := range h.endpoints {
			h.setHallClosed(i, false)
		}
		h.requestsToClosedHalls, h.gateway.retryBudget.availableRetries = nil, maxRetryBudget
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			i := rapid.SampledFrom([]int{0, 1, 2}).Draw(rt, "hall")
			switch rapid.SampledFrom([]string{"close", "open", "lead", "request", "request"}).Draw(rt, "step") {
			case "close":
				h.setHallClosed(i, true)
			case "open":
				h.setHallClosed(i, false)
			case "lead":
				h.publishAsNewLeader(i)
			case "request":
				h.sendRandomRequest(rt, i)
			}
		}
	})
}

// sendRandomRequest sends a random kind of request to endpoints with random behaviour. The data
// hall with the given index may close when the request first arrives at an endpoint.
func (h *hallHarness) sendRandomRequest(rt *rapid.T, closingHall int) {
	var once sync.Once
	closesMeanwhile := rapid.Bool().Draw(rt, "closes meanwhile")
	for i, e := range h.endpoints {
		e.setScript(rapid.SliceOfN(rapid.SampledFrom([]behaviour{answers, refuses, truncates, resets}), 2, 2).Draw(rt, "script"))
		e.onRequest = func() {
			h.recordIfClosed(i)
			if closesMeanwhile {
				once.Do(func() { h.setHallClosed(closingHall, true) })
			}
		}
	}
	allClosed := h.isClosed(0) && h.isClosed(1) && h.isClosed(2)
	got, err := h.send(rapid.Bool().Draw(rt, "service"), rapid.Bool().Draw(rt, "streamed"))
	if err != nil {
		rt.Fatalf("the gateway did not answer: %v", err)
	}
	h.checkClosedHalls(rt, got, allClosed)
}

// checkClosedHalls checks the requests that arrived at the endpoints and the answer to the caller.
func (h *hallHarness) checkClosedHalls(rt *rapid.T, got receivedAnswer, allClosed bool) {
	if len(h.requestsToClosedHalls) > 0 {
		rt.Fatalf("requests arrived in closed data halls: %v", h.requestsToClosedHalls)
	}
	ran, why := got.refusal()
	if allClosed && (why != reason.HallClosed || ran != reason.RanNo || got.header.Get("Retry-After") == "") {
		rt.Fatalf("wrong refusal with all data halls closed: %s, ran %s, header %v", why, ran, got.header)
	}
	if ran == reason.RanNo && h.runCount() > 0 {
		rt.Fatalf("reported as not run (%s), but %d endpoints ran it", why, h.runCount())
	}
}

// TestRunningRequestFinishesInClosedHall checks that a running stream completes although its data
// hall closes.
func TestRunningRequestFinishesInClosedHall(t *testing.T) {
	h := newHallHarness(t)
	h.setHallClosed(1, true)
	h.setHallClosed(2, true)
	h.endpoints[0].onRequest = func() { h.setHallClosed(0, true) }
	got, err := h.send(false, true)
	assert.NilError(t, err)
	text, isComplete := streamText(got.body)
	assert.Assert(t, isComplete)
	assert.Equal(t, text, wantText())
}

// TestExcludedReplicas checks which replicas get requests, and the reason of the refusal, when data
// halls are closed or regions restricted.
func TestExcludedReplicas(t *testing.T) {
	deployment := func(regions string) string {
		return `{"modelSelector":"family=m","nodesPerReplica":4` + regions + `}`
	}
	account := func(regions string) string {
		return `{"keyHashes":["` + config.HashKey("demo-key") + `"]` + regions + `}`
	}
	const south, north = `,"allowedRegions":["south"]`, `,"allowedRegions":["north"]`
	cases := map[string]struct {
		closedHalls                       []int
		deploymentRegions, accountRegions string
		// want is the reason of the refusal. If it is empty, runs holds the replicas that get
		// requests.
		want reason.Reason
		runs []int
	}{
		"all may run":                    {runs: []int{0, 1, 2}},
		"one hall closed":                {closedHalls: []int{0}, runs: []int{1, 2}},
		"all halls closed":               {closedHalls: []int{0, 1, 2}, want: reason.HallClosed},
		"region of the deployment":       {deploymentRegions: north, runs: []int{2}},
		"region of the account":          {accountRegions: south, runs: []int{0, 1}},
		"both bind":                      {deploymentRegions: north, accountRegions: south, want: reason.RegionNotAllowed},
		"allowed region closed":          {accountRegions: north, closedHalls: []int{2}, want: reason.HallClosed},
		"allowed region partly closed":   {accountRegions: south, closedHalls: []int{0}, runs: []int{1}},
		"closed where it is not allowed": {accountRegions: south, closedHalls: []int{2}, runs: []int{0, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHallHarness(t)
			for _, i := range c.closedHalls {
				h.setHallClosed(i, true)
			}
			assert.Equal(t, h.putDocument("d", config.KindDeployment, "chat", deployment(c.deploymentRegions)), "")
			assert.Equal(t, h.putDocument("a", config.KindAccount, "demo", account(c.accountRegions)), "")
			// Routing prefers a replica by prompt, so several prompts are needed to reach every
			// replica.
			for prompt := range 24 {
				h.checkRequest(t, prompt, c.want)
			}
			for i, e := range h.endpoints {
				assert.Equal(t, e.runCount() > 0, slices.Contains(c.runs, i), "endpoint %d ran %d", i, e.runCount())
			}
		})
	}
}

// checkRequest sends one request. It checks that the request is refused for the given reason, or
// that it is served if the reason is empty.
func (h *hallHarness) checkRequest(t *testing.T, prompt int, wantRefusal reason.Reason) {
	t.Helper()
	got, err := h.post(fmt.Sprintf(`{"model":"chat","prompt":"prompt %d"}`, prompt), nil)
	assert.NilError(t, err)
	ran, why := got.refusal()
	assert.Equal(t, why, wantRefusal, string(got.body))
	if wantRefusal == "" {
		return
	}
	assert.Equal(t, ran, reason.RanNo)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	decision, ok := h.gateway.Decision(got.header.Get(headerRequest))
	assert.Assert(t, ok)
	assert.Equal(t, decision.RefusalReason, wantRefusal)
}

// TestDecisionCountsPassedOver checks that the decision and the metrics count replicas in a closed
// data hall and in a region that is not allowed.
func TestDecisionCountsPassedOver(t *testing.T) {
	h := newHallHarness(t)
	h.setHallClosed(0, true)
	account := `{"keyHashes":["` + config.HashKey("demo-key") + `"],"allowedRegions":["south"]}`
	assert.Equal(t, h.putDocument("a", config.KindAccount, "demo", account), "")
	got, err := h.send(false, false)
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	decision, ok := h.gateway.Decision(got.header.Get(headerRequest))
	assert.Assert(t, ok)
	assert.Equal(t, decision.Replica, "chat-1")
	assert.Equal(t, decision.PassedOver.String(), "hall_closed=1 region_not_allowed=1")
	page := httptest.NewRecorder()
	h.gateway.opts.Meter.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, why := range []reason.Reason{reason.HallClosed, reason.RegionNotAllowed} {
		line := fmt.Sprintf("quartzshelf_passed_over_total{reason=%q} 1", why)
		assert.Assert(t, strings.Contains(page.Body.String(), line), "%s is missing", line)
	}
}

// TestClosingBetweenChoiceAndSending checks that a chosen target may not get the request if its
// data hall closes before the request is sent.
func TestClosingBetweenChoiceAndSending(t *testing.T) {
	h := newHallHarness(t)
	h.setHallClosed(1, true)
	h.setHallClosed(2, true)
	deployment, ok := h.configState.View().Deployment("chat")
	assert.Assert(t, ok)
	service, ok := h.configState.View().Service("ledger")
	assert.Assert(t, ok)
	r := &request{id: "r", account: h.configState.View().Accounts()[0]}
	for name, choose := range map[string]chooser{
		"replica":  h.gateway.chooseReplica(r, deployment, testPrompt),
		"endpoint": h.gateway.chooseEndpoint(r, service),
	} {
		t.Run(name, func(t *testing.T) {
			h.setHallClosed(0, false)
			target, refused := choose(nil)
			assert.Assert(t, refused == nil)
			defer target.finish()
			assert.Assert(t, target.mayServe(time.Now()))
			h.setHallClosed(0, true)
			assert.Assert(t, !target.mayServe(time.Now()))
		})
	}
}

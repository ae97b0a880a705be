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

// halls is a harness each of whose endpoints is a replica and a service's node in a
// data hall of its own.
type halls struct {
	*harness
	mu     sync.Mutex
	offset int64
	epochs []uint64
	// late are the requests that came to a closed hall.
	late []string
}

func newHalls(t testing.TB) *halls {
	t.Helper()
	h := &halls{harness: newHarness(t), epochs: make([]uint64, 3)}
	h.catalog.Publish(&rpc.DomainReport{Domain: "fabric-1", Token: &rpc.Token{Epoch: 2}, Version: 1}, time.Now())
	h.change("service ledger", config.KindService, "ledger", `{"nodeSelector":"quartzshelf/kind=service"}`)
	for i, e := range h.endpoints {
		h.lead(i)
		h.setHall(i, false)
		e.arrived = func() { h.checkOpen(i) }
	}
	return h
}

func hallName(i int) string { return fmt.Sprint("hall-", i) }

// lead publishes the report of a new leader of the hall's domain, under whom the
// replica has a new generation.
func (h *halls) lead(i int) {
	h.epochs[i]++
	address := h.endpoints[i].addr
	h.catalog.Publish(&rpc.DomainReport{
		Domain: fmt.Sprint("domain-", i), DataHall: hallName(i), Version: 1, Beat: 1,
		Token: &rpc.Token{Epoch: h.epochs[i]},
		Replicas: []*rpc.ReplicaReport{{
			Id: fmt.Sprint("chat-", i), Deployment: "chat", Generation: h.epochs[i], Serving: true, LeaderAddress: address,
		}},
		Nodes: []*rpc.NodeReport{{Id: fmt.Sprint("service-", i), Address: address, State: rpc.NodeState_SERVICE}},
	}, time.Now().Add(time.Hour))
}

// change puts a document over the one in force.
func (h *halls) change(id string, kind config.Kind, name, spec string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	object, _ := h.state.View().Object(config.Key{Kind: kind, Name: name})
	set := config.ChangeSet{Changes: []config.Change{{
		Operation: config.OperationPut, Base: object.Revision(),
		Document: config.Document{Kind: kind, Name: name, Spec: json.RawMessage(spec)},
	}}}
	data, err := set.Encode()
	if err != nil {
		panic(err)
	}
	h.offset++
	h.state.Apply(cluster.Record{Offset: h.offset, ID: id}, data)
	history := h.state.History()
	return history[len(history)-1].Problem
}

// setHall closes or opens a hall. Halls 0 and 1 lie in the south, hall 2 in the north.
func (h *halls) setHall(i int, closed bool) {
	region := "south"
	if i == 2 {
		region = "north"
	}
	problem := h.change("hall", config.KindDataHall, hallName(i), fmt.Sprintf(`{"region":%q,"closed":%v}`, region, closed))
	if problem != "" {
		panic(problem)
	}
}

func (h *halls) isClosed(i int) bool { return h.state.View().Hall(hallName(i)).Closed() }

// checkOpen notes a request that came to a closed hall.
func (h *halls) checkOpen(i int) {
	if h.isClosed(i) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.late = append(h.late, hallName(i))
	}
}

// call sends a completion, or a call to the service, which may be repeated.
func (h *halls) call(service, streamed bool) (outcome, error) {
	if !service {
		return h.post(fmt.Sprintf(`{"model":"chat","prompt":%q,"stream":%v}`, promptOf, streamed), nil)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+h.address+"/services/ledger/x", strings.NewReader("{}"))
	if err != nil {
		return outcome{}, err
	}
	request.Header.Set("Authorization", "Bearer demo-key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return outcome{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, body: data, header: response.Header}, err
}

// TestClosedHallGetsNoRequest draws closings, openings, new leaders, and requests
// whose endpoints break, some of which close a hall while they run. Nothing may come
// to a hall after it was closed: no request, no retry, no resumed stream, no call of a
// service. What was running there ends; with all halls closed the refusal says so.
func TestClosedHallGetsNoRequest(t *testing.T) {
	h := newHalls(t)
	rapid.Check(t, func(rt *rapid.T) {
		for i := range h.endpoints {
			h.setHall(i, false)
		}
		h.late, h.gateway.budget.left = nil, budgetMax
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			i := rapid.SampledFrom([]int{0, 1, 2}).Draw(rt, "hall")
			switch rapid.SampledFrom([]string{"close", "open", "lead", "request", "request"}).Draw(rt, "step") {
			case "close":
				h.setHall(i, true)
			case "open":
				h.setHall(i, false)
			case "lead":
				h.lead(i)
			case "request":
				h.drawRequest(rt, i)
			}
		}
	})
}

// drawRequest sends a request during whose first run the hall with the given index may
// close.
func (h *halls) drawRequest(rt *rapid.T, closing int) {
	var once sync.Once
	closesMeanwhile := rapid.Bool().Draw(rt, "closes meanwhile")
	for i, e := range h.endpoints {
		e.follow(rapid.SliceOfN(rapid.SampledFrom([]behaviour{answers, refuses, cuts, resets}), 2, 2).Draw(rt, "script"))
		e.arrived = func() {
			h.checkOpen(i)
			if closesMeanwhile {
				once.Do(func() { h.setHall(closing, true) })
			}
		}
	}
	allClosed := h.isClosed(0) && h.isClosed(1) && h.isClosed(2)
	got, err := h.call(rapid.Bool().Draw(rt, "service"), rapid.Bool().Draw(rt, "streamed"))
	if err != nil {
		rt.Fatalf("the gateway gave no answer: %v", err)
	}
	h.judgeClosed(rt, got, allClosed)
}

// judgeClosed checks what came to the endpoints, and what the caller was told.
func (h *halls) judgeClosed(rt *rapid.T, got outcome, allClosed bool) {
	if len(h.late) > 0 {
		rt.Fatalf("a request came to closed halls: %v", h.late)
	}
	ran, why := got.problem()
	if allClosed && (why != reason.HallClosed || ran != reason.RanNo || got.header.Get("Retry-After") == "") {
		rt.Fatalf("with all halls closed: %s, ran %s, header %v", why, ran, got.header)
	}
	if ran == reason.RanNo && h.ran() > 0 {
		rt.Fatalf("said not run (%s), but %d endpoints ran it", why, h.ran())
	}
}

// TestRunningRequestEndsInAClosedHall closes the only open hall while a stream runs
// there.
func TestRunningRequestEndsInAClosedHall(t *testing.T) {
	h := newHalls(t)
	h.setHall(1, true)
	h.setHall(2, true)
	h.endpoints[0].arrived = func() { h.setHall(0, true) }
	got, err := h.call(false, true)
	assert.NilError(t, err)
	text, whole := streamText(got.body)
	assert.Assert(t, whole)
	assert.Equal(t, text, wantText())
}

// TestKeptOutRequests sends requests of which some or all replicas are kept out.
func TestKeptOutRequests(t *testing.T) {
	deployment := func(regions string) string {
		return `{"modelSelector":"family=m","nodesPerReplica":4` + regions + `}`
	}
	account := func(regions string) string {
		return `{"keyHashes":["` + config.HashKey("demo-key") + `"]` + regions + `}`
	}
	const south, north = `,"allowedRegions":["south"]`, `,"allowedRegions":["north"]`
	cases := map[string]struct {
		closed              []int
		deployment, account string
		// want is the reason of the refusal, runs where the request may run otherwise.
		want reason.Reason
		runs []int
	}{
		"all may run":                    {runs: []int{0, 1, 2}},
		"one hall closed":                {closed: []int{0}, runs: []int{1, 2}},
		"all halls closed":               {closed: []int{0, 1, 2}, want: reason.HallClosed},
		"region of the deployment":       {deployment: north, runs: []int{2}},
		"region of the account":          {account: south, runs: []int{0, 1}},
		"both bind":                      {deployment: north, account: south, want: reason.RegionNotAllowed},
		"allowed region closed":          {account: north, closed: []int{2}, want: reason.HallClosed},
		"allowed region partly closed":   {account: south, closed: []int{0}, runs: []int{1}},
		"closed where it is not allowed": {account: south, closed: []int{2}, runs: []int{0, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHalls(t)
			for _, i := range c.closed {
				h.setHall(i, true)
			}
			assert.Equal(t, h.change("d", config.KindDeployment, "chat", deployment(c.deployment)), "")
			assert.Equal(t, h.change("a", config.KindAccount, "demo", account(c.account)), "")
			// Prompts have homes of their own, so that many of them reach every replica.
			for prompt := range 24 {
				h.ask(t, prompt, c.want)
			}
			for i, e := range h.endpoints {
				assert.Equal(t, e.ran() > 0, slices.Contains(c.runs, i), "endpoint %d ran %d", i, e.ran())
			}
		})
	}
}

// ask sends one request and checks that it is refused for the reason, or not at all
// for an empty one.
func (h *halls) ask(t *testing.T, prompt int, want reason.Reason) {
	t.Helper()
	got, err := h.post(fmt.Sprintf(`{"model":"chat","prompt":"prompt %d"}`, prompt), nil)
	assert.NilError(t, err)
	ran, why := got.problem()
	assert.Equal(t, why, want, string(got.body))
	if want == "" {
		return
	}
	assert.Equal(t, ran, reason.RanNo)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	decision, ok := h.gateway.Decision(got.header.Get(headerRequest))
	assert.Assert(t, ok)
	assert.Equal(t, decision.Refused, want)
}

// TestDecisionTellsWhatWasPassedOver serves a request while one hall is closed and one
// lies in a region that is not allowed: explain and the metrics tell.
func TestDecisionTellsWhatWasPassedOver(t *testing.T) {
	h := newHalls(t)
	h.setHall(0, true)
	account := `{"keyHashes":["` + config.HashKey("demo-key") + `"],"allowedRegions":["south"]}`
	assert.Equal(t, h.change("a", config.KindAccount, "demo", account), "")
	got, err := h.call(false, false)
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

// TestClosingBetweenChoiceAndSending closes a hall when the target is chosen and not
// yet sent to.
func TestClosingBetweenChoiceAndSending(t *testing.T) {
	h := newHalls(t)
	h.setHall(1, true)
	h.setHall(2, true)
	deployment, ok := h.state.View().Deployment("chat")
	assert.Assert(t, ok)
	service, ok := h.state.View().Service("ledger")
	assert.Assert(t, ok)
	r := &request{id: "r", account: h.state.View().Accounts()[0]}
	for name, choose := range map[string]chooser{
		"replica":  h.gateway.chooseReplica(r, deployment, promptOf),
		"endpoint": h.gateway.chooseEndpoint(r, service),
	} {
		t.Run(name, func(t *testing.T) {
			h.setHall(0, false)
			target, none := choose(nil)
			assert.Assert(t, none == nil)
			defer target.finish()
			assert.Assert(t, target.mayServe(time.Now()))
			h.setHall(0, true)
			assert.Assert(t, !target.mayServe(time.Now()))
		})
	}
}

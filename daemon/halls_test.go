package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
	"quartzshelf.dev/hall"
	"quartzshelf.dev/rpc"
)

// putDocument publishes a document that replaces the current one of the same kind and name.
func putDocument(t *testing.T, d *Daemon, kind config.Kind, name, spec string) config.Verdict {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	object, _ := d.configState.View().Object(config.Key{Kind: kind, Name: name})
	document := config.Document{Kind: kind, Name: name, Labels: object.Document().Labels, Spec: json.RawMessage(spec)}
	verdict, err := d.publish(ctx, newID(), config.ChangeSet{Changes: []config.Change{
		{Operation: config.OperationPut, Base: object.Revision(), Document: document},
	}})
	assert.NilError(t, err)
	return verdict
}

// post sends a completion request. The body of the returned response is closed when the
// test ends.
func post(t *testing.T, d *Daemon, body string) *http.Response {
	t.Helper()
	callers, _ := d.Addresses()
	request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer demo-key")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// TestCloseHall closes the only data hall while a stream runs. It checks that the stream
// finishes, that new requests are refused, that explain gives the reason, and that the hall
// becomes empty. After the hall is opened again, the same replica serves at once.
func TestCloseHall(t *testing.T) {
	d := startDaemon(t)
	defer d.Kill()
	before := d.catalog.ReplicasOf("demo")[0]
	response := post(t, d, `{"model":"demo","stream":true,"prompt":"p","max_tokens":150}`)
	stream := bufio.NewReader(response.Body)
	_, err := stream.ReadString('\n')
	assert.NilError(t, err)

	assert.Equal(t, putDocument(t, d, config.KindDataHall, "hall-a", `{"region":"south","closed":true}`).Problem, "")
	refused := post(t, d, `{"model":"demo","prompt":"p"}`)
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, refused.Header.Get("Retry-After") != "")
	text, err := io.ReadAll(refused.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), `"ran":"no","reason":"hall_closed"`), string(text))
	explanation, ok := d.explain("request", refused.Header.Get("Quartzshelf-Request"))
	assert.Assert(t, ok)
	assert.Equal(t, explanation.State, "refused: hall_closed")
	explanation, ok = d.explain("replica", before.ID())
	assert.Assert(t, ok)
	assert.Equal(t, explanation.State, replicaClosed)
	assert.Equal(t, explanation.Because[0], "hall_closed: an operator closed its data hall hall-a")
	for kind, name := range map[string]string{"node": before.Nodes()[0], "hall": "hall-a"} {
		explanation, ok = d.explain(kind, name)
		assert.Assert(t, ok)
		assert.Assert(t, strings.Contains(strings.Join(explanation.Because, "; "), "hall_closed: an operator closed it"), "%v", explanation)
	}
	assert.Assert(t, d.meter.Refusals()[reason.HallClosed] > 0)
	assert.Equal(t, d.hallWatch.Statuses(time.Now())[0].State, hall.Closing)

	rest, err := io.ReadAll(stream)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"), "the stream was not finished")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := d.hallWatch.Statuses(time.Now())[0]; s.State != hall.Empty {
			return poll.Continue("%+v", s)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	assert.Equal(t, d.hallWatch.Count(hall.Empty), 1)

	assert.Equal(t, putDocument(t, d, config.KindDataHall, "hall-a", `{"region":"south"}`).Problem, "")
	assert.Equal(t, post(t, d, `{"model":"demo","prompt":"p"}`).StatusCode, http.StatusOK)
	after := d.catalog.ReplicasOf("demo")[0]
	assert.Equal(t, after.Generation(), before.Generation(), "the replica was formed again")
}

// TestEntriesOfClosedHalls checks that only daemons in open halls are listed, and that all
// are listed if no hall is open.
func TestEntriesOfClosedHalls(t *testing.T) {
	d := startDaemon(t)
	defer d.Kill()
	callers, _ := d.Addresses()
	const other = "127.0.0.1:2"
	d.agent.Table().Merge([]*rpc.Member{{
		Id: "entry-2", Incarnation: 1, PeerAddress: "127.0.0.1:1", EntryAddress: other, DataHall: "hall-b", Ready: true,
	}})
	entries := func() []string {
		var all []string
		for _, e := range d.listEntries() {
			all = append(all, e.Address)
		}
		slices.Sort(all)
		return all
	}
	both := []string{callers, other}
	slices.Sort(both)
	assert.DeepEqual(t, entries(), both)
	assert.Equal(t, putDocument(t, d, config.KindDataHall, "hall-a", `{"closed":true}`).Problem, "")
	assert.DeepEqual(t, entries(), []string{other})
	assert.Equal(t, putDocument(t, d, config.KindDataHall, "hall-b", `{"closed":true}`).Problem, "")
	assert.DeepEqual(t, entries(), both)
}

// TestRegionsOfTheQuickstart checks that the regions allowed to a client account must
// exist, and that they decide whether its requests are served.
func TestRegionsOfTheQuickstart(t *testing.T) {
	d := startDaemon(t)
	defer d.Kill()
	assert.Equal(t, putDocument(t, d, config.KindDataHall, "hall-a", `{"region":"south"}`).Problem, "")
	assert.Equal(t, putDocument(t, d, config.KindDataHall, "hall-b", `{"region":"north"}`).Problem, "")
	account := func(region string) string {
		return fmt.Sprintf(`{"keyHashes":[%q],"allowedRegions":[%q]}`, config.HashKey("demo-key"), region)
	}
	assert.Equal(t, putDocument(t, d, config.KindAccount, "demo", account("west")).Problem,
		`ClientAccount/demo: field spec.allowedRegions[0]: no DataHall document names the region "west", known regions are north, south`)
	assert.Equal(t, putDocument(t, d, config.KindAccount, "demo", account("south")).Problem, "")
	assert.Equal(t, post(t, d, `{"model":"demo","prompt":"p"}`).StatusCode, http.StatusOK)
	assert.Equal(t, putDocument(t, d, config.KindAccount, "demo", account("north")).Problem, "")
	refused, err := io.ReadAll(post(t, d, `{"model":"demo","prompt":"p"}`).Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(refused), `"ran":"no","reason":"region_not_allowed"`), string(refused))
	assert.DeepEqual(t, d.warnings(), []string{
		"DataHall/hall-b: no node and no daemon is there; halls with any are hall-a",
	})
}

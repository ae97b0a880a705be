package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// closedHalls returns data halls of which the named ones are closed. If closing is set, they are
// still closing.
func closedHalls(closing bool, names ...string) *fleet.Halls {
	h := fleet.NewHalls(time.Hour)
	if closing {
		h.ApplyRead(fleet.HallUpdate{IsComplete: true}, 1, time.Now())
	}
	var news fleet.HallUpdate
	for _, name := range names {
		news.Changes = append(news.Changes, fleet.HallChange{Hall: name, Closed: true})
	}
	h.ApplyRead(news, 2, time.Now())
	return h
}

// listInHalls lists the workers in data halls: the first in "a", the second in "b", and so on.
func listInHalls(r *testProxy, workers ...*fakeWorker) {
	var changes []fleet.Change
	for i, w := range workers {
		hall := string(rune('a' + i))
		plain, model := w.entry(), w.modelEntry()
		plain.Zone, model.Zone = hall, hall
		changes = append(changes, fleet.Change{ID: w.id, Worker: plain}, fleet.Change{ID: w.id + "-model", Worker: model})
	}
	r.inventory.Apply(changes, 2, time.Now())
}

func TestClosedHall(t *testing.T) {
	tests := map[string]struct {
		halls *fleet.Halls
		// script holds the first behaviours of the worker in the open hall.
		script []behaviour
		path   string
		status int
		// runsInClosed is how often the request may run in the closed hall.
		runsInClosed int
	}{
		"a plain request goes elsewhere":             {halls: closedHalls(false, "b"), path: "/safe/", status: 200},
		"a stream goes elsewhere":                    {halls: closedHalls(false, "b"), path: "/stream/", status: 200},
		"a second attempt does not go there":         {halls: closedHalls(false, "b"), script: []behaviour{loses}, path: "/safe/", status: 502},
		"a broken stream does not go on there":       {halls: closedHalls(false, "b"), script: []behaviour{cuts}, path: "/stream/", status: 200},
		"all halls are closed":                       {halls: closedHalls(false, "a", "b"), path: "/safe/", status: 503},
		"a hall that is closing serves as a reserve": {halls: closedHalls(true, "b"), script: []behaviour{loses}, path: "/safe/", status: 200, runsInClosed: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			open, closed := newFakeWorker(t, "open", test.script...), newFakeWorker(t, "closed")
			r, server := newTestProxy(t, open, closed)
			r.opts.Halls = test.halls.View
			listInHalls(r, open, closed)
			got := sendRequest(t, server, test.path, "id", nil)
			assert.Equal(t, got.status, test.status)
			assert.Equal(t, closed.runs("id"), test.runsInClosed)
			if test.status == http.StatusServiceUnavailable {
				assert.Equal(t, got.header.Get("Retry-After"), "1.000")
				assert.Equal(t, open.runs("id"), 0, "503 promises that nothing ran")
			}
		})
	}
}

func TestRegions(t *testing.T) {
	regions := map[string]string{"a": "east", "b": "west"}
	tests := map[string]struct {
		account    fleet.Regions
		script     []behaviour
		status     int
		runsInWest int
	}{
		"it must stay":                        {account: fleet.Regions{"east"}, status: 200},
		"it must stay, also when sent again":  {account: fleet.Regions{"east"}, script: []behaviour{loses}, status: 502},
		"it must go to the other region":      {account: fleet.Regions{"west"}, status: 200, runsInWest: 1},
		"it must not run where anything runs": {account: fleet.Regions{"north"}, status: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			east, west := newFakeWorker(t, "east", test.script...), newFakeWorker(t, "west")
			r, server := newTestProxy(t, east, west)
			tenant, _ := r.opts.Config().Tenant("key")
			tenant.Regions = test.account
			r.opts.RegionOf = func(hall string) string { return regions[hall] }
			listInHalls(r, east, west)
			got := sendRequest(t, server, "/safe/", "id", nil)
			assert.Equal(t, got.status, test.status)
			assert.Equal(t, west.runs("id"), test.runsInWest)
		})
	}
}

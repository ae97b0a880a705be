package serving

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

func TestEntriesByRegion(t *testing.T) {
	westRoute := &fleet.Route{Host: "bound.example", Prefix: "/", Regions: fleet.Regions{"west"}}
	southWestRoute := &fleet.Route{Host: "bound.example", Prefix: "/both/", Regions: fleet.Regions{"south", "west"}}
	unboundRoute := &fleet.Route{Host: "free.example", Prefix: "/"}
	tests := map[string]struct {
		caller Caller
		// notReady holds the peers that are not ready.
		notReady []string
		want     []string
	}{
		"an unknown caller":                      {want: []string{"front-a", "front-s", "front-w"}},
		"of the own region":                      {caller: Caller{Region: "east", Host: "free.example"}, want: []string{"front-a"}},
		"of another region":                      {caller: Caller{Region: "west", Host: "free.example"}, want: []string{"front-w"}},
		"of another one, bound":                  {caller: Caller{Region: "south", Host: "bound.example:80"}, want: []string{"front-s", "front-w"}},
		"no daemon in the region is ready":       {caller: Caller{Region: "west"}, notReady: []string{"w"}, want: []string{"front-a", "front-s"}},
		"a region without daemons":               {caller: Caller{Region: "north"}, want: []string{"front-a", "front-s", "front-w"}},
		"a region without daemons, bound routes": {caller: Caller{Region: "north", Host: "bound.example"}, want: []string{"front-w"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, &fakeStore{})
			s.opts.Regions = map[string]string{"z": "east", "y": "west", "x": "south"}
			setState(s, time.Now())
			s.configCache.Offer(fleet.NewConfig(fleet.Parts{Version: 2, Routes: []*fleet.Route{westRoute, southWestRoute, unboundRoute}}), time.Now())
			for id, hall := range map[string]string{"w": "y", "s": "x"} {
				h := peers.Heartbeat{Identity: peers.Identity{ID: id, Incarnation: 1, Address: id, ServingAddress: "front-" + id, Zone: hall}}
				h.Ready = !slices.Contains(test.notReady, id)
				s.agent.Table().RecordHeartbeat(h, time.Now(), time.Now())
			}
			got := s.AddressesFor(test.caller)
			slices.Sort(got)
			assert.DeepEqual(t, got, test.want)
		})
	}
}

package serving

import (
	"bytes"
	"context"
	"maps"
	"math"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/suspension"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// TestConfigurationIsSentCompressed fetches two versions of the configuration from a peer and
// checks that the responses are compressed.
func TestConfigurationIsSentCompressed(t *testing.T) {
	provider, requester := newServer(t, &fakeStore{}), newServer(t, &fakeStore{})
	var sent []int
	recorder := httptest.NewServer(provider.fetcher.handler())
	defer recorder.Close()
	var decoded [][]byte
	requester.opts.Decode = func(data []byte) (*fleet.Config, error) {
		decoded = append(decoded, data)
		return fleet.NewConfig(fleet.Parts{Version: int64(len(decoded)), Encoded: data}), nil
	}
	peer := &peers.Peer{Heartbeat: peers.Heartbeat{Identity: peers.Identity{ID: "giver", Address: strings.TrimPrefix(recorder.URL, "http://")}}}
	for version := int64(1); version <= 2; version++ {
		encoded := bytes.Repeat([]byte{'a' + byte(version)}, 50_000)
		provider.configCache.Offer(fleet.NewConfig(fleet.Parts{Version: version, Encoded: encoded}), time.Now())
		assert.NilError(t, requester.fetcher.fetchConfig(context.Background(), fetchRequest{Peer: peer, requestedAt: suspension.NewStamp(suspension.Never)}))
		assert.Equal(t, requester.configCache.Version(), version)
		assert.DeepEqual(t, decoded[version-1], encoded)

		answer := httptest.NewRecorder()
		request := httptest.NewRequest("GET", pathConfig, nil)
		request.Header.Set("Accept-Encoding", "gzip")
		provider.fetcher.serveConfig(answer, request)
		sent = append(sent, answer.Body.Len())
	}
	for _, n := range sent {
		assert.Assert(t, n < 5_000, "%d bytes were sent", n)
	}
	plain := httptest.NewRecorder()
	provider.fetcher.serveConfig(plain, httptest.NewRequest("GET", pathConfig, nil))
	assert.Equal(t, plain.Body.Len(), 50_000, "without Accept-Encoding the response is not compressed")
}

// TestOddWorkerOfAPeerIsNotListed guards against workers that an earlier build read from an odd entry and passes on.
func TestOddWorkerOfAPeerIsNotListed(t *testing.T) {
	sound := fleet.Worker{ID: "i-1", Service: "b", Address: "127.0.0.1:80"}
	outOfRange, endless := sound, sound
	outOfRange.ID, outOfRange.Address = "odd-1", "127.0.0.1:99999"
	endless.ID, endless.Slots = "odd-2", math.MaxInt
	changes := func() []fleet.Change {
		var all []fleet.Change
		for _, w := range []fleet.Worker{outOfRange, sound, endless} {
			all = append(all, fleet.Change{ID: w.ID, Worker: &w})
		}
		return all
	}
	provider := newServer(t, &fakeStore{})
	provider.inventory.Replace(changes(), provider.inventory.Position()+3, time.Now())
	server := httptest.NewServer(provider.fetcher.handler())
	defer server.Close()
	peer := &peers.Peer{Heartbeat: peers.Heartbeat{Identity: peers.Identity{ID: "giver", Address: strings.TrimPrefix(server.URL, "http://")}}}
	tests := map[string]func(s *Server) error{
		"fetched": func(s *Server) error {
			return s.fetcher.fetchWorkers(t.Context(), fetchRequest{Peer: peer, requestedAt: suspension.NewStamp(suspension.Never)})
		},
		"as news": func(s *Server) error {
			from := s.inventory.Position()
			s.onNews(peer, &peers.News{Workers: &fleet.Delta{From: from, To: from + 3, Changes: changes(), IsExact: true}})
			return nil
		},
	}
	for name, receive := range tests {
		t.Run(name, func(t *testing.T) {
			receiver := newServer(t, &fakeStore{})
			assert.NilError(t, receive(receiver))
			assert.DeepEqual(t, slices.Sorted(maps.Keys(receiver.inventory.View().Workers())), []string{"i-1"})
		})
	}
}

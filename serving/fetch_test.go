package serving

import (
	"bytes"
	"context"
	"net/http/httptest"
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

package server

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/standin"
	"quartzshelf.dev/standin/client"
)

func newServer(t *testing.T) (*Server, *client.Client) {
	t.Helper()
	s, err := New(Options{
		Host: "127.0.0.1",
		Cluster: standin.ClusterOptions{
			Domains:          []standin.DomainOptions{{Name: "fabric-1", DataHall: "hall-a", EngineNodes: 4, Accelerators: 4}},
			StoreGBPerSecond: 1000, WeightsPerNodeGB: 1, TokenInterval: time.Millisecond, Slots: 2,
		},
	})
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	return s, client.New(client.Options{LogAddress: s.Address(), NodeListAddress: s.Address()})
}

// TestStreamNamesOutliveRequests checks that records stay in their stream during later requests.
// The test fails if the server hands stream names to the log without copying them, because the HTTP
// library reuses their memory.
func TestStreamNamesOutliveRequests(t *testing.T) {
	_, client := newServer(t)
	ctx := context.Background()
	streams := []string{"configuration", "ownership", "intents", "arrivals"}
	for i := range 20 {
		for _, stream := range streams {
			record := cluster.Record{ID: fmt.Sprint(stream, i), Data: []byte(stream)}
			first, err := client.Append(ctx, stream, []cluster.Record{record})
			assert.NilError(t, err)
			assert.Equal(t, first, int64(i), stream)
		}
	}
	for _, stream := range streams {
		batch, err := client.Read(ctx, stream, 0, 100, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 20, stream)
		for _, r := range batch.Records {
			assert.Equal(t, string(r.Data), stream)
		}
	}
}

package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLeavingWorkerGetsNoRequest guards against requests that reach a worker which has left, or is about to, because
// it was chosen before the connection to it was opened.
func TestLeavingWorkerGetsNoRequest(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			first, second := newFakeWorker(t, "w1"), newFakeWorker(t, "w2")
			p, server := newTestProxy(t, first, second)
			workers := map[string]*fakeWorker{first.entry().Address: first, second.entry().Address: second}
			var leave sync.Once
			var leaving *fakeWorker
			p.upstream.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				leave.Do(func() {
					leaving = workers[address]
					p.inventory.MarkLeaving(leaving.id, 0)
					p.inventory.MarkLeaving(leaving.id+"-model", 0)
				})
				return p.dialWorker(ctx, network, address)
			}
			got := sendRequest(t, server, path, "a", nil)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, leaving.runs("a"), 0)
			assert.Equal(t, first.runs("a")+second.runs("a"), 1)
		})
	}
}

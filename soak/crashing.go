package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"quartzshelf.dev/platform/standin"
)

const (
	// crashLeast and crashSpread are the pauses between two copies of the request that ends
	// workers.
	crashLeast  = 100 * time.Millisecond
	crashSpread = 400 * time.Millisecond
	// crashBack is how long after its end a worker is back.
	crashBack = 2 * time.Second
)

// sendCrashing sends copies of a request that ends each worker which runs it, at any daemon,
// until ctx ends.
func (r *run) sendCrashing(ctx context.Context) {
	const number = 1000
	c := newCaller(r, number)
	for ctx.Err() == nil {
		time.Sleep(crashLeast + time.Duration(c.random.Int64N(int64(crashSpread))))
		c.at = nil
		if d := c.choose(ctx); d != nil {
			c.sendCopy(ctx, d)
		}
	}
}

// sendCopy sends a copy by a daemon. What it is answered counts for nothing but the promise
// that it did not run.
func (c *caller) sendCopy(ctx context.Context, d *daemon) {
	c.sent++
	copied := &call{id: fmt.Sprintf("c%d-%d", c.number, c.sent), kind: standin.Stream, daemon: d, events: eventsLeast, sentAt: time.Now(), key: keyName(1, 1)}
	copied.life, _ = d.status()
	c.run.ledger.Sent(copied.id, copied.kind, tenantName(1), copied.sender())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := c.request(ctx, copied)
	request.Body = io.NopCloser(strings.NewReader(standin.CrashBody))
	response, err := c.client.Do(request)
	if err != nil {
		// A daemon may have ended, or the copy have ended a worker within its answer.
		return
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.run.callers.promised(copied.id)
	case http.StatusOK:
		c.run.ledger.Broken("CRASH", "%s, which ends each worker, was answered with 200", copied.id)
	}
	_, _ = io.Copy(io.Discard, response.Body)
}

// workerEnded lets nobody listen any more where a worker was.
func (r *run) workerEnded(w *standin.Worker) {
	if link := r.linkOf(w); link != nil {
		link.close()
	}
}

// workerCrashed brings a worker back that a request ended.
func (r *run) workerCrashed(w *standin.Worker) {
	back := crashBack + time.Duration(rand.Int64N(int64(crashBack)))
	time.AfterFunc(back, func() {
		if !r.isOver() {
			r.restart(w)
		}
	})
}

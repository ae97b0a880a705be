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
	// minCrashPause and crashPauseSpread bound the random pause between two crashing requests.
	minCrashPause    = 100 * time.Millisecond
	crashPauseSpread = 400 * time.Millisecond
	// minCrashDowntime is the minimum time until a crashed worker restarts. The maximum is twice
	// that.
	minCrashDowntime = 2 * time.Second
)

// The indexes of the callers whose requests crash workers.
const (
	crashingBodyCaller = 1000 + iota
	crashingPartCaller
)

// sendCrashingRequests sends crashing requests to random daemons until ctx is done. A crashing
// request crashes every worker that executes it: by its body, or by a part of its prompt while no two
// bodies are equal.
func (r *run) sendCrashingRequests(ctx context.Context, callerIndex int) {
	c := newCaller(r, callerIndex)
	for ctx.Err() == nil {
		time.Sleep(minCrashPause + time.Duration(c.random.Int64N(int64(crashPauseSpread))))
		c.currentDaemon = nil
		if d := c.chooseDaemon(ctx); d != nil {
			c.sendCrashingRequest(ctx, d)
		}
	}
}

// sendCrashingRequest sends one crashing request to a daemon. It records the request as not
// executed if the response guarantees that, and reports a response with status 200 as a violation.
func (c *caller) sendCrashingRequest(ctx context.Context, d *daemon) {
	c.sentCount++
	crashingCall := &call{id: fmt.Sprintf("c%d-%d", c.index, c.sentCount), kind: standin.Stream, daemon: d, requestSize: requestSize{eventCount: minEvents}, sentAt: time.Now(), apiKey: keyName(1, 1)}
	crashingCall.incarnation, _ = d.status()
	c.run.ledger.RecordSent(crashingCall.id, crashingCall.kind, tenantName(1), crashingCall.sender())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := c.newRequest(ctx, crashingCall)
	if c.index == crashingPartCaller {
		request.Body = io.NopCloser(strings.NewReader("the body of " + crashingCall.id))
		request.Header.Set(standin.HeaderPrefix, sharedPart+","+standin.CrashPart+":60,"+crashingCall.id+":20")
	} else {
		request.Body = io.NopCloser(strings.NewReader(standin.CrashBody))
	}
	response, err := c.client.Do(request)
	if err != nil {
		// The daemon may have been killed, or the worker may have crashed during its answer.
		return
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.run.callers.recordNotExecuted(crashingCall.id)
	case http.StatusOK:
		c.run.ledger.RecordViolation("CRASH", "%s, which ends each worker, was answered with 200", crashingCall.id)
	}
	_, _ = io.Copy(io.Discard, response.Body)
}

// closeWorkerProxy closes the proxy of a worker that has ended.
func (r *run) closeWorkerProxy(w *standin.Worker) {
	if workerProxy := r.proxyOf(w); workerProxy != nil {
		workerProxy.close()
	}
}

// scheduleRestart starts a timer that restarts or replaces a crashed worker after a random delay.
func (r *run) scheduleRestart(w *standin.Worker) {
	delay := minCrashDowntime + time.Duration(rand.Int64N(int64(minCrashDowntime)))
	time.AfterFunc(delay, func() {
		if !r.isClosing() {
			r.restartWorker(w)
		}
	})
}

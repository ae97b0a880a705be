package soak

import (
	"context"
	"errors"
	"io"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/platform/standin"
)

// TestRequestBody checks when a body comes and when it counts as whole.
func TestRequestBody(t *testing.T) {
	const delay = 50 * time.Millisecond
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		ctx     context.Context
		delay   time.Duration
		wantErr error
	}{
		"at once":                    {ctx: t.Context()},
		"late":                       {ctx: t.Context(), delay: delay},
		"the request ends meanwhile": {ctx: canceled, delay: time.Hour, wantErr: context.Canceled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			b := newRequestBody(test.ctx, "a body", test.delay)
			text, err := io.ReadAll(b)
			assert.ErrorIs(t, err, test.wantErr)
			at, isWhole := b.sentWholeAt()
			assert.Equal(t, isWhole, test.wantErr == nil)
			if !isWhole {
				return
			}
			assert.Equal(t, string(text), "a body")
			assert.Assert(t, !at.Before(begun.Add(test.delay)))
		})
	}
}

// sentBody returns a late body that was read whole some time ago, or one that was not read if ago is negative.
func sentBody(ago time.Duration) *requestBody {
	b := &requestBody{}
	if ago >= 0 {
		b.wholeAt.Store(time.Now().Add(-ago).UnixNano())
	}
	return b
}

// TestLateBodiesAtStops checks that the excuse of a stop counts from the end of a late body, and that a daemon must
// answer only what it can have read whole.
func TestLateBodiesAtStops(t *testing.T) {
	const notSent = -1
	tests := map[string]struct {
		// bodyAgo is when the body was sent whole, or notSent.
		age, bodyAgo time.Duration
		status       int
		// isCut makes the request end without a response.
		isCut    bool
		daemon   *daemon
		wantLost bool
	}{
		"502, body early in the stop":      {age: 5500 * time.Millisecond, bodyAgo: 4500 * time.Millisecond, status: 502, daemon: stoppingDaemon(7 * time.Second)},
		"502, body late in the stop":       {age: 5500 * time.Millisecond, bodyAgo: 3500 * time.Millisecond, status: 502, daemon: stoppingDaemon(7 * time.Second), wantLost: true},
		"502, body still on its way":       {age: 2 * time.Second, bodyAgo: notSent, status: 502, daemon: stoppingDaemon(7 * time.Second), wantLost: true},
		"504 at the deadline":              {age: requestDeadline, bodyAgo: 3500 * time.Millisecond, status: 504, daemon: stoppingDaemon(7 * time.Second)},
		"refused":                          {age: time.Second, bodyAgo: notSent, status: 503, daemon: stoppingDaemon(7 * time.Second)},
		"no answer, body sent":             {age: 2 * time.Second, bodyAgo: time.Second, isCut: true, daemon: runningDaemon(), wantLost: true},
		"no answer, body still on its way": {age: 2 * time.Second, bodyAgo: notSent, isCut: true, daemon: runningDaemon()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.daemon.frontProxy = &proxy{}
			r := &run{opts: onlyStops(7), ledger: standin.NewLedger(), callers: newCallerState(), daemons: []*daemon{test.daemon}}
			sent := &call{
				id: "q", kind: standin.Repeatable, requestSize: requestSize{bodyDelay: time.Second}, apiKey: "key", daemon: test.daemon,
				incarnation: 1, sentAt: time.Now().Add(-test.age), body: sentBody(test.bodyAgo),
			}
			c := &caller{run: r}
			if test.isCut {
				c.handleNoAnswer(sent, errors.New("reset"))
			} else {
				c.checkResponse(sent, signedResponse("q", test.status, ""))
			}
			assert.Equal(t, len(r.ledger.Violations()) == 1, test.wantLost, "%v", r.ledger.Violations())
		})
	}
}

func runningDaemon() *daemon { return &daemon{incarnation: 1, command: &exec.Cmd{}} }

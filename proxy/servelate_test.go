package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// TestLateRequestsWaitOnlyWithServeLate: when all replicas are overloaded, started streams wait.
// Late requests wait only with ServeLate, and not if there is no replica.
func TestLateRequestsWaitOnlyWithServeLate(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		serveLate, hasBegun bool
		waited              time.Duration
		why                 reason.Reason
		want                bool
	}{
		"late, and not kept":      {waited: time.Second, why: reason.Overloaded},
		"late, and kept":          {serveLate: true, waited: time.Second, why: reason.Overloaded, want: true},
		"in time, and kept":       {serveLate: true, why: reason.Overloaded},
		"late, but nothing there": {serveLate: true, waited: time.Second, why: reason.NoReplica},
		"a stream that has begun": {hasBegun: true, why: reason.Overloaded, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &request{
				route: &fleet.Route{Objective: 300 * time.Millisecond}, waitedBefore: test.waited, ctx: context.Background(),
				arrived: now, deadline: now.Add(5 * time.Second),
			}
			r := &Proxy{opts: Options{ServeLate: test.serveLate}}
			none := &refusal{status: http.StatusServiceUnavailable, reason: test.why}
			got := r.mayWait(c, &relayedStream{isHeadSent: test.hasBegun, lastEventAt: now, resumeBy: now.Add(resumeTimeout)}, none, now.Add(10*time.Millisecond))
			assert.Equal(t, got, test.want)
		})
	}
}

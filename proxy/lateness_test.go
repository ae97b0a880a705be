package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// lateStep is an event or a failed attempt of a stream. at is the time since the request's arrival.
type lateStep struct {
	at time.Duration
	// isEvent reports whether an event was forwarded, isFailure whether an attempt failed.
	isEvent, isFailure bool
}

func TestWhyStreamsAreLate(t *testing.T) {
	const ms = time.Millisecond
	event := func(at time.Duration) lateStep { return lateStep{at: at, isEvent: true} }
	failed := func(at time.Duration) lateStep { return lateStep{at: at, isFailure: true} }
	tests := map[string]struct {
		steps    []lateStep
		inFlight float64
		want     reason.Reason
	}{
		"in time":                       {steps: []lateStep{event(290 * ms), event(480 * ms)}},
		"late behind prompts":           {steps: []lateStep{event(310 * ms)}, want: reason.LateFirstEvent},
		"late at a full replica":        {steps: []lateStep{event(310 * ms)}, inFlight: 9, want: reason.LateFull},
		"late after a failure":          {steps: []lateStep{failed(200 * ms), event(310 * ms)}, inFlight: 9, want: reason.LateRetried},
		"a pause":                       {steps: []lateStep{event(100 * ms), event(301 * ms)}, want: reason.LatePaused},
		"moved in time":                 {steps: []lateStep{event(100 * ms), failed(150 * ms), event(290 * ms)}},
		"moved too late":                {steps: []lateStep{event(100 * ms), failed(250 * ms), event(310 * ms)}, want: reason.LateResumed},
		"a pause after a move in time":  {steps: []lateStep{event(100 * ms), failed(150 * ms), event(200 * ms), event(500 * ms)}, want: reason.LatePaused},
		"the first reason is the cause": {steps: []lateStep{event(310 * ms), event(600 * ms)}, want: reason.LateFirstEvent},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			c := &request{
				arrived: start, chosenInFlight: test.inFlight, engine: &fleet.Engine{Slots: 10},
				route: &fleet.Route{Objective: 300 * ms, GapTarget: 200 * ms},
			}
			var l lateness
			begun, last := false, start
			for _, step := range test.steps {
				now := start.Add(step.at)
				switch {
				case step.isFailure:
					c.sends++
					l.isResuming = true
					continue
				case begun:
					l.recordNext(c, "r", now.Sub(last))
				default:
					l.recordFirst(c, "r", now)
				}
				begun, last = true, now
			}
			assert.Equal(t, l.cause, test.want)
		})
	}
}

package soak

import (
	"io"
	"os/exec"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/platform/standin"
)

// TestStreamsEndedEarlyAreLost checks when a caller records that a daemon ended a stream early.
func TestStreamsEndedEarlyAreLost(t *testing.T) {
	onlyPauses, onlyStops := Options{WorkerPauses: true}, onlyStops(7)
	tests := map[string]struct {
		opts   Options
		kind   standin.Kind
		status int
		body   string
		isCut  bool
		age    time.Duration
		link   linkFault
		// daemon is the state of the daemon; nil for one that runs.
		daemon   *daemon
		wantLost bool
	}{
		"cut":                            {opts: onlyPauses, kind: standin.Stream, status: 200, body: streamBody("q", 1, 2) + "id: 3", isCut: true, wantLost: true},
		"answered with 502":              {opts: onlyPauses, kind: standin.Stream, status: 502, wantLost: true},
		"answered with 504":              {opts: onlyPauses, kind: standin.Stream, status: 504, wantLost: true},
		"cut as its daemon stops":        {opts: onlyStops, daemon: stoppingDaemon(time.Second), kind: standin.Stream, status: 200, body: streamBody("q", 1), isCut: true, wantLost: true},
		"cut at the end of a stop":       {opts: onlyStops, daemon: stoppingDaemon(7 * time.Second), age: 5 * time.Second, kind: standin.Stream, status: 200, body: streamBody("q", 1), isCut: true},
		"the same, but it was sent late": {opts: onlyStops, daemon: stoppingDaemon(7 * time.Second), age: 3900 * time.Millisecond, kind: standin.Stream, status: 200, body: streamBody("q", 1), isCut: true, wantLost: true},
		"the same, but it was cut early": {opts: onlyStops, daemon: stoppingDaemon(6 * time.Second), age: 5 * time.Second, kind: standin.Stream, status: 200, body: streamBody("q", 1), isCut: true, wantLost: true},
		"cut as its daemon is killed":    {opts: onlyStops, daemon: &daemon{incarnation: 1, disturbedAt: time.Now()}, kind: standin.Stream, status: 200, body: streamBody("q", 1), isCut: true},
		"refused by a stop":              {opts: onlyStops, daemon: stoppingDaemon(time.Second), kind: standin.Stream, status: 503},
		"cut by a stop among kills":      {opts: Options{DaemonStops: true, SeriesCount: 1}, daemon: stoppingDaemon(time.Second), kind: standin.Stream, status: 200, body: streamBody("q", 1), isCut: true},
		"whole":                          {opts: onlyPauses, kind: standin.Stream, status: 200, body: streamBody("q", 1, 2, 3)},
		"refused":                        {opts: onlyPauses, kind: standin.Stream, status: 503},
		"504 at the deadline":            {opts: onlyPauses, kind: standin.Stream, status: 504, age: requestDeadline},
		"cut at the deadline":            {opts: onlyPauses, kind: standin.Stream, status: 200, body: streamBody("q", 1), isCut: true, age: requestDeadline},
		"502 of no stream":               {opts: onlyPauses, kind: standin.Repeatable, status: 502},
		"502 on a broken link":           {opts: onlyPauses, kind: standin.Stream, status: 502, link: linkSilent},
		"502 of no stream, by a stop":    {opts: onlyStops, daemon: stoppingDaemon(time.Second), kind: standin.AtMostOnce, status: 502, wantLost: true},
		"504 of no stream, by a stop":    {opts: onlyStops, daemon: stoppingDaemon(time.Second), kind: standin.Repeatable, status: 504, wantLost: true},
		"502 at the end of a stop":       {opts: onlyStops, daemon: stoppingDaemon(7 * time.Second), age: 5 * time.Second, kind: standin.AtMostOnce, status: 502},
		"the same, but sent too late":    {opts: onlyStops, daemon: stoppingDaemon(7 * time.Second), age: 3900 * time.Millisecond, kind: standin.AtMostOnce, status: 502, wantLost: true},
		"502 beside other faults":        {opts: Options{WorkerPauses: true, SeriesCount: 1}, kind: standin.Stream, status: 502},
		"502 beside closed halls":        {opts: Options{WorkerPauses: true, HallFaults: true}, kind: standin.Stream, status: 502},
		"502 where no workers pause":     {opts: Options{}, kind: standin.Stream, status: 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := test.daemon
			if d == nil {
				d = &daemon{incarnation: 1, command: &exec.Cmd{}}
			}
			d.frontProxy = &proxy{fault: test.link}
			r := &run{opts: test.opts, ledger: standin.NewLedger(), callers: newCallerState(), daemons: []*daemon{d}}
			response := signedResponse("q", test.status, test.body)
			if test.isCut {
				response.Body = io.NopCloser(io.MultiReader(response.Body, iotest.ErrReader(io.ErrUnexpectedEOF)))
			}
			sent := &call{id: "q", kind: test.kind, requestSize: requestSize{eventCount: 3}, apiKey: "key", daemon: d, incarnation: 1, sentAt: time.Now().Add(-test.age)}
			(&caller{run: r}).checkResponse(sent, response)
			var got []string
			for _, v := range r.ledger.Violations() {
				got = append(got, v.Rule)
			}
			want := []string(nil)
			if test.wantLost {
				want = []string{"LOST"}
			}
			assert.DeepEqual(t, got, want)
		})
	}
}

// TestPauseSchedule checks the lengths of pauses, and that each kind is drawn.
func TestPauseSchedule(t *testing.T) {
	drawn := make(map[string]bool)
	for seed := range uint64(50) {
		for _, s := range pauseSchedule(seed, time.Minute) {
			drawn[s.name] = true
			assert.Assert(t, s.duration >= 800*time.Millisecond && s.duration < 2500*time.Millisecond, "%s", s.duration)
		}
	}
	assert.Equal(t, len(drawn), len(pauseFaults), "every kind of pause is drawn")
}

// TestSeedsKeepTheirFaults checks that a seed draws the same faults as when it was recorded, so that
// recorded seeds can be run again.
func TestSeedsKeepTheirFaults(t *testing.T) {
	tests := map[string]struct {
		got  []scheduledFault
		want scheduledFault
	}{
		"series":        {schedule(7, 1, time.Minute), scheduledFault{pause: 965081355, duration: 3510541048, name: "daemon-kill", targetSeed: 0x46b636b095b3c628}},
		"halls":         {hallSchedule(7, time.Minute), scheduledFault{pause: 668104846, duration: 343961845, name: "hall-name-unknown", targetSeed: 0xe23d6d930e5062cb}},
		"restores":      {restoreSchedule(7, time.Minute), scheduledFault{pause: 875872415, duration: 4157105706, name: "store-drill", targetSeed: 0x9438c1ea088c9977}},
		"announcements": {announcementSchedule(7, time.Minute), scheduledFault{pause: 1068921779, duration: 2880035706, name: "worker-parts", targetSeed: 0xeee68ca2854f7ccc}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.got[0], test.want) })
	}
}

// stoppingDaemon returns a daemon that was asked to stop some time ago.
func stoppingDaemon(ago time.Duration) *daemon {
	return &daemon{incarnation: 1, stopping: true, stopBeganAt: time.Now().Add(-ago), settings: standin.DaemonSettings{StopGracePeriod: stopGrace}}
}

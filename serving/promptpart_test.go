package serving

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// crashingPart is a part of a prompt that crashes each worker that begins to answer a request with it.
const crashingPart = "dead01"

const (
	// restartTime is how long a crashed head is away.
	restartTime = 500 * time.Millisecond
	// crashesUntilKnown is the number of crashes after which the fleet must know the part, and
	// maxSendsOfKnownPart the number of requests with it that may be sent from contactTime after
	// that.
	crashesUntilKnown   = 5
	maxSendsOfKnownPart = 3
)

// promptFleet is a crashingFleet whose requests name the parts of their prompts.
type promptFleet struct {
	*crashingFleet
	requestCount atomic.Int64
}

// send sends a request with a prompt, and returns the status and whether it was answered whole. No
// two requests have the same body.
func (f *promptFleet) send(d *crashingDaemon, key, prompt string) (status int, isWhole bool) {
	id := fmt.Sprintf("prompt-%d", f.requestCount.Add(1))
	request, err := http.NewRequest(http.MethodPost, d.frontServer.URL+"/stream/", strings.NewReader("body of "+id))
	if err != nil {
		return 0, false
	}
	request.Host = "h"
	request.Header.Set(crashingHeaders.AttemptID, id)
	request.Header.Set(crashingHeaders.Key, key)
	request.Header.Set(crashingHeaders.Model, "m")
	request.Header.Set(crashingHeaders.Prefix, prompt+","+id+":200")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, err == nil && response.StatusCode == http.StatusOK && strings.Contains(string(body), "whole")
}

// arrivals records when requests with the crashing part reached heads, and when heads crashed.
type arrivals struct {
	mu              sync.Mutex
	sent, crashedAt []time.Time
}

func (a *arrivals) recordSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = append(a.sent, time.Now())
}

func (a *arrivals) recordCrash() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashedAt = append(a.crashedAt, time.Now())
}

// sentAfterKnown returns how many requests reached heads later than contactTime after the fifth crash.
func (a *arrivals) sentAfterKnown() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.crashedAt) < crashesUntilKnown {
		return 0
	}
	count := 0
	for _, at := range a.sent {
		if at.After(a.crashedAt[crashesUntilKnown-1].Add(contactTime)) {
			count++
		}
	}
	return count
}

func (a *arrivals) crashCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.crashedAt)
}

// sendBoth sends crashing and sound requests at an interval, to all daemons in turn. It returns how many
// of the later sound ones were sent and served.
func (f *promptFleet) sendBoth(crashing, sound string, interval time.Duration) (soundSent, soundServed int64) {
	const duration = 9 * time.Second
	var calls conc.WaitGroup
	var sent, served atomic.Int64
	for began := time.Now(); time.Since(began) < duration; time.Sleep(interval) {
		isLate := time.Since(began) > 2*contactTime
		n := f.requestCount.Load()
		calls.Go(func() { f.send(f.daemons[n%3], "key", crashing) })
		calls.Go(func() {
			_, isWhole := f.send(f.daemons[(n+1)%3], "key", sound)
			if !isLate {
				return
			}
			sent.Add(1)
			if isWhole {
				served.Add(1)
			}
		})
	}
	calls.Wait()
	return sent.Load(), served.Load()
}

// TestPromptPartThatCrashesWorkers guards against workers that crash one after the other under requests
// that share nothing but one part of their prompts, and against sound requests that are refused for
// what they share with these.
func TestPromptPartThatCrashesWorkers(t *testing.T) {
	tests := map[string]struct {
		// crashing returns the prompt of the crashing requests, sound that of the others.
		crashing, sound string
		interval        time.Duration
	}{
		"the second part":          {crashing: "shared:40," + crashingPart + ":80", sound: "shared:40,other:80", interval: 120 * time.Millisecond},
		"the second of three":      {crashing: "shared:40," + crashingPart + ":80,tail:10", sound: "shared:40,other:80,tail:10", interval: 120 * time.Millisecond},
		"the first part":           {crashing: crashingPart + ":40,tail:10", sound: "shared:40,tail:10", interval: 120 * time.Millisecond},
		"a request now and then":   {crashing: "shared:40," + crashingPart + ":80", sound: "shared:40,other:80", interval: 700 * time.Millisecond},
		"the same with little use": {crashing: "shared:40," + crashingPart + ":80,tail:10", sound: "shared:40,tail:10", interval: 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &promptFleet{crashingFleet: newCrashingFleet(t, 3, 24)}
			f.restartsHeads.Store(true)
			defer f.stopRestarts()
			soundSent, soundServed := f.sendBoth(test.crashing, test.sound, test.interval)
			count := f.crashing.sentAfterKnown()
			assert.Assert(t, count <= maxSendsOfKnownPart, "%d requests with the part were sent after it was known; %d heads crashed", count, f.crashing.crashCount())
			assert.Assert(t, f.crashing.crashCount() >= crashesUntilKnown-1, "%d heads crashed", f.crashing.crashCount())
			assert.Equal(t, soundServed, soundSent, "sound requests that were served, and sent")
		})
	}
}

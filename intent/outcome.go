package intent

import (
	"sync"
	"time"
)

// Phase is the progress of an attempt, as recorded by the daemon that made it.
type Phase string

// Phases of an attempt.
const (
	// PhaseAbsent means that the daemon has no record of the attempt.
	PhaseAbsent Phase = "absent"
	// PhasePending means that the attempt may have been sent and has not finished.
	PhasePending Phase = "pending"
	// PhaseDone means that the attempt has finished and its answer is available.
	PhaseDone Phase = "done"
	// PhaseUnknown means that the attempt was sent and its outcome is unknown.
	PhaseUnknown Phase = "unknown"
	// PhaseReleased means that the attempt was not and will not be sent.
	PhaseReleased Phase = "released"
)

const (
	// outcomeTTL is how long an answer is kept for repeated requests.
	outcomeTTL = 10 * time.Minute
	// maxOutcomeBytes limits the memory of kept answers, in bytes.
	maxOutcomeBytes = 4 << 20
	// outcomeOverhead is the size of an outcome without its body, in bytes.
	outcomeOverhead = 256
)

// Answer is the answer to a request that ran.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer. The body must not be changed afterwards.
func NewAnswer(status int, contentType string, body []byte) Answer {
	return Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body, which must not be changed.
func (a Answer) Body() []byte { return a.body }

// Outcome is the phase of an attempt, with its answer if the attempt is done.
type Outcome struct {
	phase  Phase
	answer Answer
}

// NewOutcome returns an outcome. The answer is only used with PhaseDone.
func NewOutcome(phase Phase, answer Answer) Outcome {
	return Outcome{phase: phase, answer: answer}
}

// Phase returns the progress of the attempt.
func (o Outcome) Phase() Phase { return o.phase }

// Answer returns the answer of an attempt that is done.
func (o Outcome) Answer() Answer { return o.answer }

// outcomes holds the outcomes of this process's attempts. It is safe for concurrent use.
type outcomes struct {
	mu  sync.Mutex
	all map[string]keptOutcome
	// oldestFirst lists the IDs of the attempts in all.
	oldestFirst []string
	// bytes is the total size of the outcomes, including overhead.
	bytes int
}

type keptOutcome struct {
	outcome   Outcome
	expiresAt time.Time
}

func newOutcomes() *outcomes {
	return &outcomes{all: make(map[string]keptOutcome)}
}

// set records the outcome of an attempt. A final outcome does not change.
func (o *outcomes) set(attempt string, outcome Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	previous, exists := o.all[attempt]
	if exists && previous.outcome.phase != PhasePending {
		return
	}
	if !exists {
		o.oldestFirst = append(o.oldestFirst, attempt)
		o.bytes += outcomeOverhead
	}
	o.bytes += len(outcome.answer.body)
	o.all[attempt] = keptOutcome{outcome: outcome, expiresAt: time.Now().Add(outcomeTTL)}
	o.trim()
}

func (o *outcomes) get(attempt string) Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept, ok := o.all[attempt]
	if !ok {
		return Outcome{phase: PhaseAbsent}
	}
	return kept.outcome
}

// trim removes the oldest outcomes until the oldest one has not expired and the total size is at
// most maxOutcomeBytes. It stops at an attempt that is pending.
func (o *outcomes) trim() {
	now := time.Now()
	n := 0
	for n < len(o.oldestFirst) {
		kept := o.all[o.oldestFirst[n]]
		if now.Before(kept.expiresAt) && o.bytes <= maxOutcomeBytes {
			break
		}
		if kept.outcome.phase == PhasePending {
			break
		}
		o.bytes -= outcomeOverhead + len(kept.outcome.answer.body)
		delete(o.all, o.oldestFirst[n])
		n++
	}
	o.oldestFirst = o.oldestFirst[n:]
}

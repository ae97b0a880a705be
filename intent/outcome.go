package intent

import (
	"sync"
	"time"
)

// Phase is how far an attempt has come at the daemon that holds it.
type Phase string

// The phases of an attempt.
const (
	// PhaseAbsent means that this process knows nothing of the attempt.
	PhaseAbsent Phase = "absent"
	// PhasePending means that the attempt was or may be sent and has not ended.
	PhasePending Phase = "pending"
	// PhaseDone means that the attempt ran and its answer is kept.
	PhaseDone Phase = "done"
	// PhaseUnknown means that the attempt was sent and its fate is not known.
	PhaseUnknown Phase = "unknown"
	// PhaseReleased means that the attempt was not and will not be sent.
	PhaseReleased Phase = "released"
)

const (
	// keepOutcome is how long an answer is kept for a second caller.
	keepOutcome = 10 * time.Minute
	// maxOutcomeBytes bounds the answers kept, in bytes.
	maxOutcomeBytes = 4 << 20
	// outcomeOverhead is what an outcome costs besides its body, in bytes.
	outcomeOverhead = 256
)

// Answer is the answer of a request that ran.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer; body must not be changed afterwards.
func NewAnswer(status int, contentType string, body []byte) Answer {
	return Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Outcome is what is known of an attempt.
type Outcome struct {
	phase  Phase
	answer Answer
}

// NewOutcome returns an outcome.
func NewOutcome(phase Phase, answer Answer) Outcome {
	return Outcome{phase: phase, answer: answer}
}

// Phase returns how far the attempt has come.
func (o Outcome) Phase() Phase { return o.phase }

// Answer returns the answer of an attempt that is done.
func (o Outcome) Answer() Answer { return o.answer }

// outcomes keeps what became of this process's attempts.
type outcomes struct {
	mu    sync.Mutex
	all   map[string]keptOutcome
	order []string
	bytes int
}

type keptOutcome struct {
	outcome  Outcome
	forgetAt time.Time
}

func newOutcomes() *outcomes {
	return &outcomes{all: make(map[string]keptOutcome)}
}

// set notes the state of an attempt. Once it is final it does not change.
func (o *outcomes) set(attempt string, outcome Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old, known := o.all[attempt]
	if known && old.outcome.phase != PhasePending {
		return
	}
	if !known {
		o.order = append(o.order, attempt)
		o.bytes += outcomeOverhead
	}
	o.bytes += len(outcome.answer.body)
	o.all[attempt] = keptOutcome{outcome: outcome, forgetAt: time.Now().Add(keepOutcome)}
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

// trim forgets the oldest outcomes that are past their time or over the bound.
func (o *outcomes) trim() {
	now := time.Now()
	n := 0
	for n < len(o.order) {
		kept := o.all[o.order[n]]
		if now.Before(kept.forgetAt) && o.bytes <= maxOutcomeBytes {
			break
		}
		if kept.outcome.phase == PhasePending {
			break
		}
		o.bytes -= outcomeOverhead + len(kept.outcome.answer.body)
		delete(o.all, o.order[n])
		n++
	}
	o.order = o.order[n:]
}

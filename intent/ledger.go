package intent

import (
	"context"
	"encoding/json"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/common/ring"
	"quartzshelf.dev/eventlog"
)

// Limits of a Ledger.
const (
	queueSize = 4096
	batchSize = 256
	// claimTimeout limits the wait for a claim to be applied.
	claimTimeout = 4 * time.Second
	// releaseTimeout limits the wait for a release to be applied.
	releaseTimeout = time.Second
	// submitTimeout limits the call that hands a record to its writer.
	submitTimeout = 500 * time.Millisecond
	// sendTimeout is how long after its claim an attempt may be sent. It must be far below the
	// time for which a key is kept.
	sendTimeout = 30 * time.Second
	// maxLogSilence is how long ago the log may have answered last before claims are refused at
	// once. It is longer than a read that waits for new records.
	maxLogSilence = 8 * time.Second
	// appendRetryDelay is the pause after a failed append.
	appendRetryDelay = 200 * time.Millisecond
)

// Options configures a Ledger.
type Options struct {
	// Self is the ID of this daemon.
	Self  string
	State *State
	// Follower applies the stream of intents to State.
	Follower *eventlog.Follower
	// NewID returns a unique ID.
	NewID func() string
	// FlushEvery returns the minimum time between two appends of this daemon, which shares the
	// log's rate limit with the other writers.
	FlushEvery func() time.Duration
	// Submit hands a record to the daemon that writes the key's records. It returns false if that
	// is this daemon or cannot be reached.
	Submit func(ctx context.Context, key Key, record cluster.Record) bool
	// Ask asks the holder of an attempt for its outcome.
	Ask func(ctx context.Context, holder, attempt string) (Outcome, error)
}

// Ledger claims keys for this daemon and records the outcomes of its attempts.
type Ledger struct {
	opts     Options
	queue    *ring.Ring[cluster.Record]
	outcomes *outcomes
	done     chan struct{}
}

// NewLedger returns a ledger, which is started by Run.
func NewLedger(opts Options) *Ledger {
	return &Ledger{
		opts: opts, queue: ring.New[cluster.Record](queueSize),
		outcomes: newOutcomes(), done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (l *Ledger) Done() <-chan struct{} { return l.done }

// Claim is the result of claiming a key.
type Claim struct {
	key     Key
	attempt string
	// sendBefore is the deadline for sending the request.
	sendBefore time.Time
	won        bool
	entry      Entry
}

// Won reports whether the caller of Take may send the request, once.
func (c Claim) Won() bool { return c.won }

// Entry returns the state of a key that another attempt holds.
func (c Claim) Entry() Entry { return c.entry }

// MaySend reports whether the attempt may be sent at the given time. A delay after the check is
// harmless if it is shorter than the time for which a key is kept, as no other attempt can win the
// key before.
func (c Claim) MaySend(now time.Time) bool { return c.won && now.Before(c.sendBefore) }

// Take claims a key for a request with the given body hash. If the claim is not won, its entry
// tells who holds the key. After an error nothing was sent for this call, and nothing will be.
func (l *Ledger) Take(ctx context.Context, key Key, body string) (Claim, error) {
	if time.Since(l.opts.Follower.Confirmed()) > maxLogSilence {
		return Claim{}, failure.New(failure.Unavailable, "claim key", Stream, "the log has not answered for %v", maxLogSilence)
	}
	if e, ok := l.opts.State.Entry(key); ok && !e.isClaimable(body) {
		return Claim{key: key, entry: e}, nil
	}
	attempt := l.opts.NewID()
	sendBefore := time.Now().Add(sendTimeout)
	l.outcomes.set(attempt, Outcome{phase: PhasePending})
	record := Record{Operation: OperationClaim, Key: key, Attempt: attempt, Holder: l.opts.Self, Body: body}
	if err := l.commit(ctx, record, claimTimeout); err != nil {
		l.abandon(key, attempt)
		return Claim{}, err
	}
	e, _ := l.opts.State.Entry(key)
	won := e.attempt == attempt
	if !won {
		l.outcomes.set(attempt, Outcome{phase: PhaseReleased})
	}
	return Claim{key: key, attempt: attempt, sendBefore: sendBefore, won: won, entry: e}, nil
}

// abandon gives up the right to send an attempt whose claim was not applied in time. As the claim
// may still win later, a release is queued for it.
func (l *Ledger) abandon(key Key, attempt string) {
	l.outcomes.set(attempt, Outcome{phase: PhaseReleased})
	l.enqueue(Record{Operation: OperationRelease, Key: key, Attempt: attempt})
}

// Release releases a key whose request was not and will not be sent.
func (l *Ledger) Release(ctx context.Context, c Claim) {
	l.outcomes.set(c.attempt, Outcome{phase: PhaseReleased})
	record := Record{Operation: OperationRelease, Key: c.key, Attempt: c.attempt}
	// If the release is not applied in time, the key stays claimed until it is. Until then, this
	// daemon tells other callers that the request was not run.
	_ = l.commit(ctx, record, releaseTimeout)
}

// ReleaseFor releases a key on behalf of its holder, which reported that the attempt was not and
// will not be sent.
func (l *Ledger) ReleaseFor(key Key, attempt string) {
	l.enqueue(Record{Operation: OperationRelease, Key: key, Attempt: attempt})
}

// Finish records the answer of a completed request.
func (l *Ledger) Finish(c Claim, answer Answer) {
	l.outcomes.set(c.attempt, Outcome{phase: PhaseDone, answer: answer})
	l.enqueue(Record{Operation: OperationDone, Key: c.key, Attempt: c.attempt, Status: answer.status})
}

// Lose records that the request was sent and that its outcome is unknown.
func (l *Ledger) Lose(c Claim) {
	l.outcomes.set(c.attempt, Outcome{phase: PhaseUnknown})
}

// Local returns the outcome of an attempt as known to this process.
func (l *Ledger) Local(attempt string) Outcome {
	return l.outcomes.get(attempt)
}

// Outcome returns the outcome of the attempt that holds a key, by asking its holder. It has
// PhaseAbsent if the holder does not know the attempt or does not answer. Whether such a request
// ran is unknown, unless the log has recorded it as done.
func (l *Ledger) Outcome(ctx context.Context, e Entry) Outcome {
	if e.holder == l.opts.Self {
		return l.outcomes.get(e.attempt)
	}
	o, err := l.opts.Ask(ctx, e.holder, e.attempt)
	if err != nil {
		return Outcome{phase: PhaseAbsent}
	}
	return o
}

// commit writes a record and waits until it is applied locally.
func (l *Ledger) commit(ctx context.Context, r Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	record, err := l.encode(r)
	if err != nil {
		return err
	}
	applied := l.opts.Follower.Fold().Watch(record.ID)
	defer l.opts.Follower.Fold().Unwatch(record.ID)
	if !l.submit(ctx, r.Key, record) && !l.queue.Offer(record) {
		return failure.New(failure.Refused, "queue intent", Stream, "%d records wait already", queueSize)
	}
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return failure.At(failure.Unavailable, "settle intent", Stream, ctx.Err())
	}
}

func (l *Ledger) submit(ctx context.Context, key Key, record cluster.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return l.opts.Submit(ctx, key, record)
}

// enqueue writes a record in the background. If the queue is full, the record is dropped, and a
// later caller may get no definite answer.
func (l *Ledger) enqueue(r Record) {
	if record, err := l.encode(r); err == nil {
		l.queue.Offer(record)
	}
}

func (l *Ledger) encode(r Record) (cluster.Record, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return cluster.Record{}, failure.At(failure.Invalid, "encode intent", Stream, err)
	}
	return eventlog.NewRecord(l.opts.NewID(), data)
}

// Write queues a record handed over by another daemon. It returns false if the queue is full.
func (l *Ledger) Write(record cluster.Record) bool {
	return l.queue.Offer(record)
}

// Run appends queued records in batches until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case record := <-l.queue.Values():
			batch := append([]cluster.Record{record}, l.queue.Drain(batchSize-1)...)
			l.flush(ctx, batch)
			pause.For(ctx, l.opts.FlushEvery())
		case <-ctx.Done():
			return
		}
	}
}

// flush appends a batch, with retries. Duplicate records of an attempt have no effect, so a retry
// after a lost answer is safe.
func (l *Ledger) flush(ctx context.Context, batch []cluster.Record) {
	deadline := time.Now().Add(claimTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		err := l.opts.Follower.AppendRecords(attempt, batch)
		cancel()
		if err == nil {
			return
		}
		pause.For(ctx, appendRetryDelay)
	}
}

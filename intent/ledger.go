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

// Sizes and timeouts of a Ledger.
const (
	// queueSize is the maximum number of records that wait to be appended to the log.
	queueSize = 4096
	// batchSize is the maximum number of records in one append.
	batchSize = 256
	// claimTimeout limits the wait for a claim to be applied. It also limits the time for which a
	// failed append of a batch is retried.
	claimTimeout = 4 * time.Second
	// releaseTimeout limits the wait for a release to be applied.
	releaseTimeout = time.Second
	// submitTimeout limits a call of Options.Submit.
	submitTimeout = 500 * time.Millisecond
	// sendTimeout is how long after its claim an attempt may be sent. It must be much shorter than
	// the time for which keys are kept (see NewState).
	sendTimeout = 30 * time.Second
	// maxLogSilence is the maximum time since the last answer of the log. If it is exceeded, claims
	// are refused at once. It is longer than a read that waits for new records.
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
	// FlushEvery returns the minimum time between two appends by this daemon. The log has a rate
	// limit that all writers share.
	FlushEvery func() time.Duration
	// Submit sends a record to the daemon that writes the key's records, and reports whether that
	// daemon accepted it. It returns false if that daemon is this one or cannot be reached.
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

// Claim is the result of an attempt to claim a key.
type Claim struct {
	key     Key
	attempt string
	// sendBefore is the deadline for sending the request.
	sendBefore time.Time
	won        bool
	entry      Entry
}

// Won reports whether the caller of Ledger.ClaimKey has won the key and may send the request once.
func (c Claim) Won() bool { return c.won }

// Entry returns the state of the key after the claim. If the claim was not won, it names the
// attempt that holds the key.
func (c Claim) Entry() Entry { return c.entry }

// MaySend reports whether the attempt may be sent at the given time. It may be sent with a short
// delay after the check, since no other attempt can win the key while the key is kept.
func (c Claim) MaySend(now time.Time) bool { return c.won && now.Before(c.sendBefore) }

// ClaimKey claims a key for a request with the given body hash. If the claim is not won, its entry
// names the attempt that holds the key. If ClaimKey returns an error, the caller must not send the
// request.
func (l *Ledger) ClaimKey(ctx context.Context, key Key, body string) (Claim, error) {
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

// abandon marks an attempt as never to be sent, since its claim was not applied in time. It also
// queues a release, as the claim may still win later.
func (l *Ledger) abandon(key Key, attempt string) {
	l.outcomes.set(attempt, Outcome{phase: PhaseReleased})
	l.enqueue(Record{Operation: OperationRelease, Key: key, Attempt: attempt})
}

// Release releases a key. The caller guarantees that the request was not sent and will not be.
func (l *Ledger) Release(ctx context.Context, c Claim) {
	l.outcomes.set(c.attempt, Outcome{phase: PhaseReleased})
	record := Record{Operation: OperationRelease, Key: c.key, Attempt: c.attempt}
	// If the release is not applied in time, the key stays claimed for longer. Meanwhile, this
	// daemon answers other daemons that the attempt was released.
	_ = l.commit(ctx, record, releaseTimeout)
}

// ReleaseFor releases a key in the background on behalf of its holder. The holder must have
// reported that the attempt was released.
func (l *Ledger) ReleaseFor(key Key, attempt string) {
	l.enqueue(Record{Operation: OperationRelease, Key: key, Attempt: attempt})
}

// Finish records the answer of a completed request.
func (l *Ledger) Finish(c Claim, answer Answer) {
	l.outcomes.set(c.attempt, Outcome{phase: PhaseDone, answer: answer})
	l.enqueue(Record{Operation: OperationDone, Key: c.key, Attempt: c.attempt, Status: answer.status})
}

// MarkUnknown records that the request was sent and that its outcome is unknown.
func (l *Ledger) MarkUnknown(c Claim) {
	l.outcomes.set(c.attempt, Outcome{phase: PhaseUnknown})
}

// LocalOutcome returns the outcome of an attempt of this process. It has PhaseAbsent if the attempt
// is not known.
func (l *Ledger) LocalOutcome(attempt string) Outcome {
	return l.outcomes.get(attempt)
}

// Outcome returns the outcome of the attempt that holds a key, which it requests from the holder.
// It has PhaseAbsent if the holder does not know the attempt or does not answer. The request may
// have run in this case.
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

// commit writes a record to the log and waits until this daemon has applied it.
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
		return failure.Wrap(failure.Unavailable, "settle intent", Stream, ctx.Err())
	}
}

// submit calls Options.Submit with a timeout.
func (l *Ledger) submit(ctx context.Context, key Key, record cluster.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return l.opts.Submit(ctx, key, record)
}

// enqueue queues a record, which Run writes in the background. If the queue is full, the record is
// dropped. The key is then not marked as released or done.
func (l *Ledger) enqueue(r Record) {
	if record, err := l.encode(r); err == nil {
		l.queue.Offer(record)
	}
}

func (l *Ledger) encode(r Record) (cluster.Record, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return cluster.Record{}, failure.Wrap(failure.Invalid, "encode intent", Stream, err)
	}
	return eventlog.NewRecord(l.opts.NewID(), data)
}

// Write queues a record that another daemon submitted. It returns false if the queue is full.
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
			pause.Sleep(ctx, l.opts.FlushEvery())
		case <-ctx.Done():
			return
		}
	}
}

// flush appends a batch and retries up to claimTimeout. A retry is safe if the answer to the first
// append was lost, since duplicate records of an attempt have no effect.
func (l *Ledger) flush(ctx context.Context, batch []cluster.Record) {
	deadline := time.Now().Add(claimTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		attemptCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := l.opts.Follower.AppendRecords(attemptCtx, batch)
		cancel()
		if err == nil {
			return
		}
		pause.Sleep(ctx, appendRetryDelay)
	}
}

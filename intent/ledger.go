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

// Limits of a ledger.
const (
	queueSize = 4096
	batchSize = 256
	// claimTimeout bounds the wait for a claim to be folded.
	claimTimeout = 4 * time.Second
	// releaseTimeout bounds the wait for a release.
	releaseTimeout = time.Second
	// submitTimeout bounds the call that hands a record to its writer.
	submitTimeout = 500 * time.Millisecond
	// sendWithin is how long after its claim an attempt may still be sent. It
	// lies far below the time for which a key is kept.
	sendWithin = 30 * time.Second
	// logSilence is for how long the log may not answer before claims are
	// refused at once. It is longer than a read that waits for news.
	logSilence = 8 * time.Second
	// retryAppend is how long the writer waits after an append that failed.
	retryAppend = 200 * time.Millisecond
)

// Options configures a Ledger.
type Options struct {
	// Self is this daemon's id.
	Self  string
	State *State
	// Follower follows the stream of intents into State.
	Follower *eventlog.Follower
	// NewID returns a unique name.
	NewID func() string
	// FlushEvery returns the least time between two appends of this daemon,
	// which shares the log's rate with the other writers.
	FlushEvery func() time.Duration
	// Submit hands a record to the daemon that writes the key's records, and
	// reports false when that is this daemon itself or cannot be reached.
	Submit func(ctx context.Context, key Key, record cluster.Record) bool
	// Ask asks the holder of an attempt what became of it.
	Ask func(ctx context.Context, holder, attempt string) (Outcome, error)
}

// Ledger claims keys for this daemon and remembers what became of them.
type Ledger struct {
	opts     Options
	queue    *ring.Ring[cluster.Record]
	outcomes *outcomes
	done     chan struct{}
}

// NewLedger returns a ledger; Run makes it work.
func NewLedger(opts Options) *Ledger {
	return &Ledger{
		opts: opts, queue: ring.New[cluster.Record](queueSize),
		outcomes: newOutcomes(), done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (l *Ledger) Done() <-chan struct{} { return l.done }

// Claim is the result of asking for a key.
type Claim struct {
	key     Key
	attempt string
	// sendBefore is when the right to send ends.
	sendBefore time.Time
	won        bool
	entry      Entry
}

// Won reports whether the request may be sent, once, by the caller of Take.
func (c Claim) Won() bool { return c.won }

// Entry returns the state of a key that another attempt holds.
func (c Claim) Entry() Entry { return c.entry }

// MaySend reports whether the attempt may be sent at now. A pause after the
// check is harmless as long as it is shorter than the time for which a key is
// kept: until then no other attempt can win the key.
func (c Claim) MaySend(now time.Time) bool { return c.won && now.Before(c.sendBefore) }

// Take claims key for a request with the given body hash. When the claim is
// not won, the entry says who holds the key. An error means that nothing was
// and nothing will be sent for this call.
func (l *Ledger) Take(ctx context.Context, key Key, body string) (Claim, error) {
	if time.Since(l.opts.Follower.Confirmed()) > logSilence {
		return Claim{}, failure.New(failure.Unavailable, "claim key", Stream, "the log has not answered for %v", logSilence)
	}
	if e, ok := l.opts.State.Entry(key); ok && !e.openTo(body) {
		return Claim{key: key, entry: e}, nil
	}
	attempt := l.opts.NewID()
	sendBefore := time.Now().Add(sendWithin)
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

// abandon gives up an attempt whose claim was not seen in time. The claim may
// still win later, so a release follows it whenever the log takes one.
func (l *Ledger) abandon(key Key, attempt string) {
	l.outcomes.set(attempt, Outcome{phase: PhaseReleased})
	l.enqueue(Record{Operation: OperationRelease, Key: key, Attempt: attempt})
}

// Release gives back a key whose request was not and will not be sent.
func (l *Ledger) Release(ctx context.Context, c Claim) {
	l.outcomes.set(c.attempt, Outcome{phase: PhaseReleased})
	record := Record{Operation: OperationRelease, Key: c.key, Attempt: c.attempt}
	// Should the release not be seen in time, the key stays claimed until it is,
	// and a second caller is told by this daemon that the request was not run.
	_ = l.commit(ctx, record, releaseTimeout)
}

// ReleaseFor gives back a key on behalf of its holder, which has said that the
// attempt was not and will not be sent.
func (l *Ledger) ReleaseFor(key Key, attempt string) {
	l.enqueue(Record{Operation: OperationRelease, Key: key, Attempt: attempt})
}

// Finish notes the answer of a request that ran.
func (l *Ledger) Finish(c Claim, answer Answer) {
	l.outcomes.set(c.attempt, Outcome{phase: PhaseDone, answer: answer})
	l.enqueue(Record{Operation: OperationDone, Key: c.key, Attempt: c.attempt, Status: answer.status})
}

// Lose notes that the request was sent and its fate is not known.
func (l *Ledger) Lose(c Claim) {
	l.outcomes.set(c.attempt, Outcome{phase: PhaseUnknown})
}

// Local returns what this process knows of an attempt.
func (l *Ledger) Local(attempt string) Outcome {
	return l.outcomes.get(attempt)
}

// Outcome returns what became of the attempt that holds a key, by asking its
// holder. An attempt that its holder does not know, or whose holder does not
// answer, is of unknown fate unless the log says that it is done.
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

// commit writes a record and returns once it is folded here.
func (l *Ledger) commit(ctx context.Context, r Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	record, err := l.encode(r)
	if err != nil {
		return err
	}
	seen := l.opts.Follower.Fold().Watch(record.ID)
	defer l.opts.Follower.Fold().Unwatch(record.ID)
	if !l.submit(ctx, r.Key, record) && !l.queue.Offer(record) {
		return failure.New(failure.Refused, "queue intent", Stream, "%d records wait already", queueSize)
	}
	select {
	case <-seen:
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

// enqueue writes a record in the background; a full queue drops it, which
// costs a later caller a definite answer and nothing else.
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

// Write queues a record that another daemon handed over. It reports false when
// there is no room.
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

// flush appends a batch, again and again until it shows in the log. Repeated
// records of one attempt change nothing, so a lost answer does no harm.
func (l *Ledger) flush(ctx context.Context, batch []cluster.Record) {
	giveUp := time.Now().Add(claimTimeout)
	for ctx.Err() == nil && time.Now().Before(giveUp) {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		err := l.opts.Follower.AppendRecords(attempt, batch)
		cancel()
		if err == nil {
			return
		}
		pause.For(ctx, retryAppend)
	}
}

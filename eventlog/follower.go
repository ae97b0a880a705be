package eventlog

import (
	"context"
	"sync"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/pause"
)

// Timing of a follower.
const (
	readLimit   = 500
	readWait    = 2 * time.Second
	readTimeout = 6 * time.Second
	retryAfter  = 250 * time.Millisecond
	// checkpointRecords is how many records may follow a checkpoint before the
	// next one is written.
	checkpointRecords = 2000
	// checkpointFraction of the retention is the age at which a checkpoint is renewed.
	checkpointFraction = 3
)

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Log    cluster.Log
	Stream string
	State  State
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// NewID returns a unique record id.
	NewID func() string
	// CheckpointDelay returns how long this daemon waits before it writes a
	// checkpoint that is due, so that daemons seldom write the same one twice.
	CheckpointDelay func() time.Duration
}

// Follower keeps a fold of one stream up to date.
type Follower struct {
	opts FollowerOptions
	fold *Fold
	done chan struct{}

	mu sync.Mutex
	// confirmed is the start of the last read that succeeded.
	confirmed time.Time
	head      int64
	caughtUp  chan struct{}
	isCaught  bool
}

// NewFollower returns a follower; Run makes it work.
func NewFollower(opts FollowerOptions) *Follower {
	return &Follower{
		opts:     opts,
		fold:     NewFold(opts.State),
		done:     make(chan struct{}),
		caughtUp: make(chan struct{}),
	}
}

// Fold returns the fold of the stream.
func (f *Follower) Fold() *Fold {
	return f.fold
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// CaughtUp is closed once the fold has reached the head that the log had at
// some read.
func (f *Follower) CaughtUp() <-chan struct{} {
	return f.caughtUp
}

// Confirmed returns when the newest successful read of the log began: every
// record appended before then is folded. It is the zero time before the fold
// has caught up.
func (f *Follower) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	var checkpointDue time.Time
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			pause.For(ctx, retryAfter)
			continue
		}
		checkpointDue = f.maybeCheckpoint(ctx, checkpointDue)
	}
}

// read does one read and folds what it returns.
func (f *Follower) read(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start := time.Now()
	from := f.position()
	batch, err := f.opts.Log.Read(readCtx, f.opts.Stream, from, readLimit, f.wait())
	if err != nil {
		return err
	}
	if batch.Earliest > from {
		f.fold.Reset()
		batch, err = f.opts.Log.Read(readCtx, f.opts.Stream, batch.Earliest, readLimit, 0)
		if err != nil {
			return err
		}
	}
	for _, record := range batch.Records {
		f.fold.Add(record)
	}
	f.note(start, batch)
	return nil
}

// position returns the offset to read from next.
func (f *Follower) position() int64 {
	f.fold.mu.Lock()
	defer f.fold.mu.Unlock()
	if n := len(f.fold.pending); n > 0 {
		return f.fold.pending[n-1].Offset + 1
	}
	return f.fold.next
}

// wait returns how long a read may wait for news: not at all until caught up.
func (f *Follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isCaught {
		return readWait
	}
	return 0
}

// note records that a read which began at start returned batch.
func (f *Follower) note(start time.Time, batch cluster.Batch) {
	next := f.fold.Next()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.head = max(f.head, batch.Next)
	if next < f.head || f.fold.Waiting() {
		return
	}
	f.confirmed = start
	if !f.isCaught {
		f.isCaught = true
		close(f.caughtUp)
	}
}

// maybeCheckpoint writes a checkpoint once one has been due for the daemon's
// delay. It returns the deadline at which to write, zero for none due.
func (f *Follower) maybeCheckpoint(ctx context.Context, due time.Time) time.Time {
	if !f.checkpointNeeded() {
		return time.Time{}
	}
	now := time.Now()
	if due.IsZero() {
		return now.Add(f.opts.CheckpointDelay())
	}
	if now.Before(due) {
		return due
	}
	c, err := f.fold.Checkpoint()
	if err != nil {
		return now.Add(f.opts.CheckpointDelay())
	}
	record, err := newCheckpointRecord(f.opts.NewID(), c)
	if err == nil {
		// A lost answer needs no settling: the follower sees the checkpoint,
		// or writes another one.
		_, _ = f.opts.Log.Append(ctx, f.opts.Stream, []cluster.Record{record})
	}
	return now.Add(readTimeout + f.opts.CheckpointDelay())
}

func (f *Follower) checkpointNeeded() bool {
	if f.Confirmed().IsZero() {
		return false
	}
	next := f.fold.Next()
	at, written := f.fold.newestCheckpoint()
	if next-1-at > checkpointRecords {
		return true
	}
	if at < 0 {
		written = f.fold.firstTime()
	}
	renewAt := written.Add(f.opts.Retention / checkpointFraction)
	return next > 0 && time.Now().After(renewAt)
}

// firstTime returns the time from which the first checkpoint's age counts.
func (f *Fold) firstTime() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checkpointTime.IsZero() {
		f.checkpointTime = f.time
	}
	return f.checkpointTime
}

// Append adds data to the stream under id and returns once this follower has
// folded it. When the answer of the log is lost, the log itself settles the
// matter: Append waits for the record to show. An error of type
// failure.Refused means that nothing was appended; after any other the record
// may still appear.
func (f *Follower) Append(ctx context.Context, id string, data []byte) error {
	record, err := NewRecord(id, data)
	if err != nil {
		return failure.At(failure.Invalid, "encode record", f.opts.Stream, err)
	}
	return f.AppendRecords(ctx, []cluster.Record{record})
}

// AppendRecords appends records, which must not be empty, as one unit. See
// Append for when it returns and what an error means.
func (f *Follower) AppendRecords(ctx context.Context, records []cluster.Record) error {
	last := records[len(records)-1].ID
	seen := f.fold.Watch(last)
	defer f.fold.Unwatch(last)
	_, err := f.opts.Log.Append(ctx, f.opts.Stream, records)
	if failure.Is(err, failure.Refused) {
		return err
	}
	select {
	case <-seen:
		return nil
	case <-ctx.Done():
		return failure.At(failure.Unavailable, "settle append", f.opts.Stream, ctx.Err())
	}
}

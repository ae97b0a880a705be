package eventlog

import (
	"context"
	"sync"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/pause"
)

// Timing and limits of a follower.
const (
	maxReadRecords = 500
	readWait       = 2 * time.Second
	readTimeout    = 6 * time.Second
	retryDelay     = 250 * time.Millisecond
	// maxRecordsSinceCheckpoint is the number of records after a checkpoint at which the next one
	// is due.
	maxRecordsSinceCheckpoint = 2000
	// checkpointsPerRetention divides the retention into the age at which a checkpoint is renewed.
	checkpointsPerRetention = 3
)

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Log    cluster.Log
	Stream string
	State  State
	// Retention is how long the log keeps records.
	Retention time.Duration
	// NewID returns a unique record id.
	NewID func() string
	// CheckpointDelay returns how long this daemon waits before it writes a due checkpoint, so that
	// daemons rarely write the same one twice.
	CheckpointDelay func() time.Duration
}

// Follower keeps a fold of one stream up to date.
type Follower struct {
	opts FollowerOptions
	fold *Fold
	done chan struct{}

	mu sync.Mutex
	// confirmed is the start of the last successful read that reached the end of the log.
	confirmed  time.Time
	logEnd     int64
	caughtUp   chan struct{}
	isCaughtUp bool
}

// NewFollower returns a follower that starts to read when Run is called.
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

// CaughtUp is closed once the fold has reached the end of the log as of some read.
func (f *Follower) CaughtUp() <-chan struct{} {
	return f.caughtUp
}

// Confirmed returns the start of the newest successful read: every record appended before is
// folded. It is the zero time until the fold has caught up.
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
			pause.For(ctx, retryDelay)
			continue
		}
		checkpointDue = f.writeCheckpointIfDue(ctx, checkpointDue)
	}
}

// read does one read and folds the records it returns.
func (f *Follower) read(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start := time.Now()
	from := f.nextOffset()
	batch, err := f.opts.Log.Read(readCtx, f.opts.Stream, from, maxReadRecords, f.maxWait())
	if err != nil {
		return err
	}
	if batch.Earliest > from {
		f.fold.Reset()
		batch, err = f.opts.Log.Read(readCtx, f.opts.Stream, batch.Earliest, maxReadRecords, 0)
		if err != nil {
			return err
		}
	}
	for _, record := range batch.Records {
		f.fold.Add(record)
	}
	f.recordRead(start, batch)
	return nil
}

// nextOffset returns the offset at which to read next.
func (f *Follower) nextOffset() int64 {
	f.fold.mu.Lock()
	defer f.fold.mu.Unlock()
	if n := len(f.fold.pending); n > 0 {
		return f.fold.pending[n-1].Offset + 1
	}
	return f.fold.next
}

// maxWait returns how long a read may wait for records: not at all until the fold has caught up.
func (f *Follower) maxWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isCaughtUp {
		return readWait
	}
	return 0
}

// recordRead records that a read started at start returned batch.
func (f *Follower) recordRead(start time.Time, batch cluster.Batch) {
	next := f.fold.Next()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logEnd = max(f.logEnd, batch.Next)
	if next < f.logEnd || f.fold.Waiting() {
		return
	}
	f.confirmed = start
	if !f.isCaughtUp {
		f.isCaughtUp = true
		close(f.caughtUp)
	}
}

// writeCheckpointIfDue writes a checkpoint if one has been due for the daemon's delay. It returns
// when to write the next one, or the zero time if none is due.
func (f *Follower) writeCheckpointIfDue(ctx context.Context, due time.Time) time.Time {
	if !f.needsCheckpoint() {
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
		// A lost reply needs no handling: the follower reads the checkpoint, or writes another one.
		_, _ = f.opts.Log.Append(ctx, f.opts.Stream, []cluster.Record{record})
	}
	return now.Add(readTimeout + f.opts.CheckpointDelay())
}

func (f *Follower) needsCheckpoint() bool {
	if f.Confirmed().IsZero() {
		return false
	}
	next := f.fold.Next()
	at, written := f.fold.newestCheckpoint()
	if next-1-at > maxRecordsSinceCheckpoint {
		return true
	}
	if at < 0 {
		written = f.fold.checkpointAgeStart()
	}
	renewAt := written.Add(f.opts.Retention / checkpointsPerRetention)
	return next > 0 && time.Now().After(renewAt)
}

// checkpointAgeStart returns the time from which the age counts while there is no checkpoint.
func (f *Fold) checkpointAgeStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checkpointTime.IsZero() {
		f.checkpointTime = f.time
	}
	return f.checkpointTime
}

// Append appends data to the stream under id and returns once this follower has folded it. If the
// log's reply is lost, Append waits for the record to appear. An error of type failure.Refused
// means that nothing was appended; after any other error the record may still appear.
func (f *Follower) Append(ctx context.Context, id string, data []byte) error {
	record, err := NewRecord(id, data)
	if err != nil {
		return failure.At(failure.Invalid, "encode record", f.opts.Stream, err)
	}
	return f.AppendRecords(ctx, []cluster.Record{record})
}

// AppendRecords appends a non-empty list of records atomically. It returns as Append does.
func (f *Follower) AppendRecords(ctx context.Context, records []cluster.Record) error {
	last := records[len(records)-1].ID
	folded := f.fold.Watch(last)
	defer f.fold.Unwatch(last)
	_, err := f.opts.Log.Append(ctx, f.opts.Stream, records)
	if failure.Is(err, failure.Refused) {
		return err
	}
	select {
	case <-folded:
		return nil
	case <-ctx.Done():
		return failure.At(failure.Unavailable, "settle append", f.opts.Stream, ctx.Err())
	}
}

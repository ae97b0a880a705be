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
	// maxReadRecords is the maximum number of records in a read.
	maxReadRecords = 500
	// readWait is how long a read waits for new records, once the fold has caught up.
	readWait = 2 * time.Second
	// readTimeout is the time limit of a read, including its wait.
	readTimeout = 6 * time.Second
	// retryDelay is the delay after a failed read.
	retryDelay = 250 * time.Millisecond
	// maxRecordsSinceCheckpoint is the number of records after a checkpoint beyond which another
	// checkpoint is due.
	maxRecordsSinceCheckpoint = 2000
	// checkpointsPerRetention is the number of checkpoints to write within the log's retention.
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
	// CheckpointDelay returns how long this daemon waits before it writes a checkpoint that is due.
	// It should differ between daemons, so that they rarely write the same checkpoint twice.
	CheckpointDelay func() time.Duration
}

// Follower keeps a fold of one stream up to date.
type Follower struct {
	opts FollowerOptions
	fold *Fold
	done chan struct{}

	mu sync.Mutex
	// confirmed is the start of the last successful read that reached the end of the log.
	confirmed time.Time
	// logEnd is one past the highest offset in the log, as returned by any read.
	logEnd int64
	// caughtUp is closed when isCaughtUp is set.
	caughtUp chan struct{}
	// isCaughtUp is set once the fold has reached the end of the log.
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

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// CaughtUp returns a channel that is closed once the fold has reached the end of the log for the
// first time.
func (f *Follower) CaughtUp() <-chan struct{} {
	return f.caughtUp
}

// Confirmed returns the start of the last successful read that reached the end of the log. All
// records appended before that time have been folded. It is the zero time until the fold has caught
// up.
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
			pause.Sleep(ctx, retryDelay)
			continue
		}
		checkpointDue = f.writeCheckpointIfDue(ctx, checkpointDue)
	}
}

// read reads the next records and folds them. If the log no longer keeps those, it reads from the
// earliest record.
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
		f.fold.DropPending()
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

// maxWait returns how long a read may wait for records. Reads do not wait until the fold has caught
// up.
func (f *Follower) maxWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isCaughtUp {
		return readWait
	}
	return 0
}

// recordRead updates the state of the follower after a read that was started at the given time and
// returned batch.
func (f *Follower) recordRead(start time.Time, batch cluster.Batch) {
	next := f.fold.Next()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logEnd = max(f.logEnd, batch.Next)
	if next < f.logEnd || f.fold.HasPending() {
		return
	}
	f.confirmed = start
	if !f.isCaughtUp {
		f.isCaughtUp = true
		close(f.caughtUp)
	}
}

// writeCheckpointIfDue writes a checkpoint if one is needed and the time due has passed. It returns
// when to write the next one, or the zero time if none is needed. A zero due means that the time
// has yet to be set.
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
		// Errors need no handling. Another checkpoint is written unless this one is found in the
		// log.
		_, _ = f.opts.Log.Append(ctx, f.opts.Stream, []cluster.Record{record})
	}
	return now.Add(readTimeout + f.opts.CheckpointDelay())
}

// needsCheckpoint reports whether a checkpoint should be written, because the newest one is too old
// or too many records follow it.
func (f *Follower) needsCheckpoint() bool {
	if f.Confirmed().IsZero() {
		return false
	}
	next := f.fold.Next()
	checkpointOffset, checkpointTime := f.fold.newestCheckpoint()
	if next-1-checkpointOffset > maxRecordsSinceCheckpoint {
		return true
	}
	if checkpointOffset < 0 {
		checkpointTime = f.fold.checkpointAgeStart()
	}
	renewAt := checkpointTime.Add(f.opts.Retention / checkpointsPerRetention)
	return next > 0 && time.Now().After(renewAt)
}

// checkpointAgeStart returns a time that replaces the time of the newest checkpoint while there is
// no checkpoint. It is the log time of the newest record when the function was first called.
func (f *Fold) checkpointAgeStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checkpointTime.IsZero() {
		f.checkpointTime = f.time
	}
	return f.checkpointTime
}

// Append appends a record with the given id and data to the stream, and returns once this follower
// has folded it. If the log's reply is lost, Append waits for the record to appear in the log. An
// error of type failure.Refused means that nothing was appended. After any other error the record
// may still appear.
func (f *Follower) Append(ctx context.Context, id string, data []byte) error {
	record, err := NewRecord(id, data)
	if err != nil {
		return failure.Wrap(failure.Invalid, "encode record", f.opts.Stream, err)
	}
	return f.AppendRecords(ctx, []cluster.Record{record})
}

// AppendRecords appends a non-empty list of records atomically, and returns once this follower has
// folded the last one. Its errors are those of Append.
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
		return failure.Wrap(failure.Unavailable, "settle append", f.opts.Stream, ctx.Err())
	}
}

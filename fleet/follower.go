package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/common/awake"
	"quartzshelf.dev/common/pause"
)

// Timing of a follower.
const (
	// pollWait is how long a read waits for changes. A read confirms the time at which it was sent,
	// so this bounds the age of what a daemon knows. With two heartbeats added it must stay below
	// the age at which peers start to read the source themselves.
	pollWait = 300 * time.Millisecond
	// firstConfigWait replaces pollWait until there is a configuration that could be confirmed.
	firstConfigWait = 2 * time.Second
	// readTimeout is how long a read may take beyond its wait. The source aborts a stalled answer
	// much sooner.
	readTimeout = 4 * time.Second
	// listTimeout is the time limit for reading a whole list page by page. The source keeps changes
	// for at least twice as long, so reading can continue from there.
	listTimeout = 10 * time.Second
	// listRetryDelay is the delay before reading another list after one was rejected as outdated:
	// six attempts within the three seconds by which the store's answers may lag.
	listRetryDelay = 500 * time.Millisecond
	// restoreSettleTime is how long after a restore from a copy the source is complete again:
	// writers repeat their writes at their next heartbeat, about every second.
	restoreSettleTime = 5 * time.Second
	// minRetryDelay and maxRetryDelay are the first and the maximum delay after failed reads.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// idlePollInterval is how often a follower that relies on its peers checks whether it must read
	// itself.
	idlePollInterval = 100 * time.Millisecond
	// coalesceDelay combines changes in quick succession into one read.
	coalesceDelay = 60 * time.Millisecond
)

// ConfigNews is the result of a read of the configuration.
type ConfigNews struct {
	// Config is nil if there is nothing new.
	Config *Config
	// Next is the position at which to continue.
	Next int64
	// Lost says that the position is no longer available, so that everything must be read again.
	Lost bool
	// More says that there was more to read at Next.
	More bool
	// Refused is why the newest configuration is invalid, or nil. Config then holds the newest
	// valid one, if it is new.
	Refused error
	// Halls holds the states of data halls, which are published along with the configuration.
	Halls HallNews
}

// WorkerNews is the result of a read of the worker list.
type WorkerNews struct {
	Changes []Change
	Next    int64
	Lost    bool
	// More says that there is more to read now: after Last for a whole list, else at Next.
	More bool
	Last string
	// Refused lists the errors of invalid entries, which are left out.
	Refused []error
}

// Source reads the published configuration and worker list.
type Source struct {
	// ReadConfig returns the newest configuration.
	ReadConfig func(ctx context.Context) (ConfigNews, error)
	// NextConfig waits for changes after position.
	NextConfig func(ctx context.Context, position int64, wait time.Duration) (ConfigNews, error)
	// ReadWorkers returns a page of the worker list as changes, starting after the given id; an
	// empty id starts from the beginning. The Next of the first page is the position at which to
	// continue after the whole list.
	ReadWorkers func(ctx context.Context, after string) (WorkerNews, error)
	// NextWorkers waits for changes after position.
	NextWorkers func(ctx context.Context, position int64, wait time.Duration) (WorkerNews, error)
}

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Source  Source
	Beliefs *Beliefs
	// Halls receives the states of data halls; nil if none are published.
	Halls     *Halls
	Inventory *Inventory
	// Reads reports whether this daemon must now read data that was last confirmed at the given
	// time itself, rather than rely on its peers.
	Reads func(confirmed time.Time) bool
	// Spread returns the minimum delay between failed reads, so that a large fleet does not call a
	// recovering source all at once; nil for no minimum.
	Spread func() time.Duration
	// Suspended returns the total time for which the machine was suspended; nil if it never is.
	Suspended func() time.Duration
	Logger    hclog.Logger
}

// Follower keeps the configuration, the data halls and the inventory up to date from their source.
type Follower struct {
	opts FollowerOptions
	// era is one more than the newest era read, or 0 before the first read.
	era  atomic.Int64
	done chan struct{}
}

// NewFollower returns a follower that starts to read when Run is called.
func NewFollower(opts FollowerOptions) *Follower {
	if opts.Suspended == nil {
		opts.Suspended = awake.Never
	}
	return &Follower{opts: opts, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	var group conc.WaitGroup
	group.Go(func() { newConfigReader(f).run(ctx) })
	group.Go(func() { f.followWorkers(ctx) })
	group.Wait()
}

func (f *Follower) followWorkers(ctx context.Context) {
	position := int64(-1)
	var list pendingList
	f.poll(ctx, "worker list", f.shouldReadWorkers, func(ctx context.Context) error {
		if position < 0 || f.opts.Inventory.AwaitsList() {
			done, err := f.readList(ctx, &list)
			if done {
				position = list.next
				list = pendingList{}
				f.delayListRetry(ctx)
			}
			return err
		}
		sent := awake.NewStamp(f.opts.Suspended)
		// Skip what peers have sent since the last read.
		position = max(position, f.opts.Inventory.Position())
		next, cancel := context.WithTimeout(ctx, pollWait+readTimeout)
		defer cancel()
		update, err := f.opts.Source.NextWorkers(next, position, pollWait)
		switch {
		case err != nil:
			return err
		case update.Lost:
			position = -1
			return nil
		}
		f.logInvalidEntries(update.Refused)
		read := Delta{From: position, To: update.Next, Changes: update.Changes}
		position = update.Next
		if update.More {
			f.opts.Inventory.ApplyPart(read, sent.Time())
			return nil
		}
		f.opts.Inventory.Take(read, sent.Time())
		pause.For(ctx, coalesceDelay)
		return nil
	})
}

// delayListRetry delays the next list if the one just read was rejected as older than what peers
// sent. Without the delay a lagging source would be read without pause.
func (f *Follower) delayListRetry(ctx context.Context) {
	if f.opts.Inventory.AwaitsList() {
		pause.For(ctx, listRetryDelay)
	}
}

// shouldReadWorkers reports whether this daemon must read the worker list now.
func (f *Follower) shouldReadWorkers() bool {
	return f.opts.Inventory.AwaitsList() || f.opts.Reads(f.opts.Inventory.Confirmed())
}

// holdFirstReads ignores confirmations for a while if this is the first read and the source was
// restored from a copy at an unknown time.
func (f *Follower) holdFirstReads(before, era int64) {
	if before < 0 && era > 0 {
		f.opts.Beliefs.HoldFirstReads(time.Now())
	}
}

// advanceEra updates the era from a read of either list. An era that is later than any known from
// reads or peers means that the source was restored from a copy; the configuration is then not
// confirmed for a while, whichever list was read first.
func (f *Follower) advanceEra(position int64) {
	known := f.era.Load()
	if own := f.opts.Inventory.Position(); own > 0 {
		known = max(known, EraOf(own)+1)
	}
	era := EraOf(position) + 1
	if known > 0 && era > known {
		f.opts.Beliefs.HoldCopy(time.Now())
	}
	f.era.Store(max(era, known))
}

// pendingList is a whole list that is being read. Pages are kept if the read of a later one fails.
type pendingList struct {
	changes []Change
	// next is the position at which to continue, as returned with the first page; sent is when that
	// page was requested.
	next int64
	sent awake.Stamp
	// after is the id of the last worker read, empty before the first page.
	after string
}

// readList reads the next page of a whole list, and applies the list once it is complete.
func (f *Follower) readList(ctx context.Context, l *pendingList) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if l.after == "" || time.Since(l.sent.Time()) > listTimeout {
		*l = pendingList{sent: awake.NewStamp(f.opts.Suspended)}
	}
	update, err := f.opts.Source.ReadWorkers(ctx, l.after)
	if err != nil {
		return false, err
	}
	f.logInvalidEntries(update.Refused)
	switch {
	case l.after == "":
		l.next = update.Next
	case EraOf(update.Next) != EraOf(l.next):
		// The pages belong to different eras.
		*l = pendingList{}
		return false, nil
	}
	l.changes, l.after = append(l.changes, update.Changes...), update.Last
	if update.More {
		return false, nil
	}
	f.advanceEra(l.next)
	f.opts.Inventory.Replace(l.changes, l.next, l.sent.Time())
	return true, nil
}

func (f *Follower) logInvalidEntries(all []error) {
	for _, err := range all {
		f.opts.Logger.Warn("invalid worker entry skipped", "error", err)
	}
}

// retrySpread returns the minimum delay between failed reads.
func (f *Follower) retrySpread() time.Duration {
	if f.opts.Spread == nil {
		return 0
	}
	return f.opts.Spread()
}

// poll calls read whenever this daemon must read itself, with exponential backoff while reads
// fail. It logs once when the source becomes unreachable and once when it is back.
func (f *Follower) poll(ctx context.Context, what string, shouldRead func() bool, read func(context.Context) error) {
	backoff, isUnreachable := minRetryDelay, false
	for ctx.Err() == nil {
		if !shouldRead() {
			pause.For(ctx, idlePollInterval)
			continue
		}
		err := read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if isUnreachable {
				f.opts.Logger.Info("source reachable again", "of", what)
			}
			backoff, isUnreachable = minRetryDelay, false
			continue
		}
		if !isUnreachable {
			f.opts.Logger.Warn("source unreachable", "of", what, "error", err)
			isUnreachable = true
		}
		backoff = max(backoff, f.retrySpread())
		pause.For(ctx, backoff+rand.N(backoff))
		backoff = min(2*backoff, max(maxRetryDelay, f.retrySpread()))
	}
}

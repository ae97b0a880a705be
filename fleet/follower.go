package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/common/suspension"
)

// Timing of a follower.
const (
	// pollWait is how long a read waits for changes. A read confirms data as of when it was sent,
	// so the confirmation may be pollWait old when the read returns. The age at which peers start
	// to read the source themselves must exceed pollWait plus two heartbeats.
	pollWait = 300 * time.Millisecond
	// firstConfigWait replaces pollWait until there is a configuration that could be confirmed.
	firstConfigWait = 2 * time.Second
	// readTimeout is the time limit of a read, not including its wait for changes.
	readTimeout = 4 * time.Second
	// listTimeout is the time limit for reading all pages of a whole list. It must be shorter than
	// the time for which the source keeps changes, so that the changes since the first page can
	// still be read.
	listTimeout = 10 * time.Second
	// listRetryDelay is the delay before reading another list after one was rejected as outdated.
	listRetryDelay = 500 * time.Millisecond
	// restoreSettleTime is how long after a restore from a copy the source may be incomplete.
	// Writers repeat their writes at their next heartbeat.
	restoreSettleTime = 5 * time.Second
	// idlePollInterval is how often a follower that relies on its peers checks whether it must read
	// itself.
	idlePollInterval = 100 * time.Millisecond
	// coalesceDelay is the delay between reads of the worker list, so that one read returns all
	// changes in quick succession.
	coalesceDelay = 60 * time.Millisecond
)

// ConfigUpdate is the result of a read of the configuration.
type ConfigUpdate struct {
	// Config is nil if there is nothing new.
	Config *Config
	// Next is the position at which to continue.
	Next int64
	// PositionLost is set if the source no longer keeps the changes after the requested position,
	// so that everything must be read again.
	PositionLost bool
	// More is set if there is more to read at once, starting at Next.
	More bool
	// ConfigErr is the error of the newest configuration, or nil if that is valid. If there is an
	// error, Config is the newest valid configuration, or nil if that is not new.
	ConfigErr error
	// Halls holds the states of data halls, which are published along with the configuration.
	Halls HallUpdate
}

// WorkerUpdate is the result of a read of the worker list.
type WorkerUpdate struct {
	Changes []Change
	// Next is the position at which to continue.
	Next int64
	// PositionLost is set if the source no longer keeps the changes after the requested position,
	// so that the whole list must be read again.
	PositionLost bool
	// More is set if there is more to read at once. While a whole list is read, the next page
	// starts after the id in Last; otherwise the next read continues at Next.
	More bool
	// Last is the id of the last worker in a page of a whole list.
	Last string
	// EntryErrs lists the errors of invalid entries, which are left out.
	EntryErrs []error
}

// Source reads the published configuration and worker list.
type Source struct {
	// ReadConfig returns the newest configuration.
	ReadConfig func(ctx context.Context) (ConfigUpdate, error)
	// NextConfig waits for changes after position.
	NextConfig func(ctx context.Context, position int64, wait time.Duration) (ConfigUpdate, error)
	// ReadWorkers returns a page of the worker list as changes, starting after the given id. An
	// empty id starts from the beginning. After the last page, NextWorkers continues at the Next of
	// the first page.
	ReadWorkers func(ctx context.Context, after string) (WorkerUpdate, error)
	// NextWorkers waits for changes after position.
	NextWorkers func(ctx context.Context, position int64, wait time.Duration) (WorkerUpdate, error)
}

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Source      Source
	ConfigCache *ConfigCache
	// Halls receives the states of data halls; nil if none are published.
	Halls     *Halls
	Inventory *Inventory
	// ShouldRead reports whether this daemon must read the source itself rather than rely on its
	// peers. confirmed is the time at which the data was last confirmed.
	ShouldRead func(confirmed time.Time) bool
	// MinRetryDelay returns the minimum delay after a failed read, so that a large fleet does not
	// call a recovering source all at once. A nil function means no minimum.
	MinRetryDelay func() time.Duration
	// SettleTime is the time after the return of the source within which a read must have succeeded.
	// It goes before MinRetryDelay; zero means no limit.
	SettleTime time.Duration
	// Suspended returns the total time for which the machine was suspended; nil if it never is.
	Suspended func() time.Duration
	Logger    hclog.Logger
}

// Follower keeps the configuration, the data halls and the inventory up to date from their source.
type Follower struct {
	opts FollowerOptions
	// eraPlusOne is one more than the newest era read, or 0 before the first read.
	eraPlusOne atomic.Int64
	// probe is under way while reads of the worker list fail.
	probe probe
	done  chan struct{}
}

// NewFollower returns a follower that starts to read when Run is called.
func NewFollower(opts FollowerOptions) *Follower {
	if opts.Suspended == nil {
		opts.Suspended = suspension.Never
	}
	return &Follower{opts: opts, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	var group conc.WaitGroup
	group.Go(func() { newConfigReader(f).run(ctx) })
	group.Go(func() { f.followWorkers(ctx) })
	group.Wait()
}

// followWorkers keeps the inventory up to date until ctx ends.
func (f *Follower) followWorkers(ctx context.Context) {
	reader := &workerReader{Follower: f, position: -1}
	read := func(ctx context.Context) error {
		f.opts.Inventory.BeginRead(time.Now())
		pauseAfter, err := reader.readOnce(ctx)
		f.opts.Inventory.EndRead(err)
		pause.Sleep(ctx, pauseAfter)
		return err
	}
	p := &poller{Follower: f, dataName: "worker list", isProbe: true, shouldRead: f.shouldReadWorkers, read: read}
	p.run(ctx)
}

// workerReader reads the worker list.
type workerReader struct {
	*Follower
	// position is where the next read starts. If it is negative, the whole list is read.
	position int64
	list     pendingList
}

// readOnce does one read and applies its result. It returns the pause before the next read.
func (r *workerReader) readOnce(ctx context.Context) (pauseAfter time.Duration, err error) {
	if r.position < 0 || r.opts.Inventory.NeedsList() {
		done, err := r.readListPage(ctx, &r.list)
		if !done {
			return 0, err
		}
		r.position = r.list.next
		r.list = pendingList{}
		return r.pauseAfterList(), nil
	}
	sent := suspension.NewStamp(r.opts.Suspended)
	// Skip what peers have sent since the last read.
	r.position = max(r.position, r.opts.Inventory.Position())
	ctx, cancel := context.WithTimeout(ctx, pollWait+readTimeout)
	defer cancel()
	update, err := r.opts.Source.NextWorkers(ctx, r.position, pollWait)
	switch {
	case err != nil:
		return 0, err
	case update.PositionLost:
		r.position = -1
		return 0, nil
	}
	r.logInvalidEntries(update.EntryErrs)
	read := Delta{From: r.position, To: update.Next, Changes: update.Changes}
	r.position = update.Next
	if update.More {
		r.opts.Inventory.ApplyPart(read, sent.Time())
		return 0, nil
	}
	r.opts.Inventory.ApplyRead(read, sent.Time())
	return coalesceDelay, nil
}

// pauseAfterList returns the pause after a whole list was read. It is positive if another one is
// needed, because the list was older than what peers have sent.
func (f *Follower) pauseAfterList() time.Duration {
	if f.opts.Inventory.NeedsList() {
		return listRetryDelay
	}
	return 0
}

// shouldReadWorkers reports whether this daemon must read the worker list now.
func (f *Follower) shouldReadWorkers() bool {
	return f.opts.Inventory.NeedsList() || f.opts.ShouldRead(f.opts.Inventory.Confirmed())
}

// holdFirstReads ignores confirmations by reads for a while after the first read if the source was
// once restored from a copy, which its era shows. previousEra is negative at the first read.
func (f *Follower) holdFirstReads(previousEra, era int64) {
	if previousEra < 0 && era > 0 {
		f.opts.ConfigCache.HoldFirstReads(time.Now())
	}
}

// advanceEra updates the era from the position that a read of the configuration or of the worker
// list returned. An era later than any known from reads or peers means that the source was restored
// from a copy. Confirmations of the configuration are then ignored for a while.
func (f *Follower) advanceEra(position int64) {
	knownPlusOne := f.eraPlusOne.Load()
	if ownPosition := f.opts.Inventory.Position(); ownPosition > 0 {
		knownPlusOne = max(knownPlusOne, EraOf(ownPosition)+1)
	}
	eraPlusOne := EraOf(position) + 1
	if knownPlusOne > 0 && eraPlusOne > knownPlusOne {
		f.opts.ConfigCache.HoldAfterRestore(time.Now())
	}
	f.eraPlusOne.Store(max(eraPlusOne, knownPlusOne))
}

// pendingList holds the pages of a whole list that have been read so far. They are kept if reading
// a later page fails.
type pendingList struct {
	changes []Change
	// next is the position at which to continue after the list, as returned with the first page.
	next int64
	// sent is when the first page was requested.
	sent suspension.Stamp
	// after is the id of the last worker read, empty before the first page.
	after string
}

// readListPage reads the next page of a whole list, and applies the list once it is complete.
func (f *Follower) readListPage(ctx context.Context, l *pendingList) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if l.after == "" || time.Since(l.sent.Time()) > listTimeout {
		*l = pendingList{sent: suspension.NewStamp(f.opts.Suspended)}
	}
	update, err := f.opts.Source.ReadWorkers(ctx, l.after)
	if err != nil {
		return false, err
	}
	f.logInvalidEntries(update.EntryErrs)
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

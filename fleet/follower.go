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
	// newsWait is how long a read waits for news. A waiting read confirms only
	// the time at which it was sent, so this decides how old beliefs get: with
	// two heartbeats on top, those of peers must stay younger than what makes them
	// read for themselves.
	newsWait = 300 * time.Millisecond
	// firstWait is the same for the first configuration, which confirms nothing.
	firstWait = 2 * time.Second
	// readMost is how much longer than its wait a read may take while its answer comes: a
	// source ends one that stands still much sooner.
	readMost = 4 * time.Second
	// listMost bounds the reading of a whole list, page by page. The source tells changes
	// for twice that at least, from which the reading goes on.
	listMost = 10 * time.Second
	// listAgain is how long after a list that could not be taken another one is read: six
	// tries within the three seconds by which answers of the store are known to be behind.
	listAgain = 500 * time.Millisecond
	// copySettles is how long after a source came back from a copy it has what was written
	// before: writers write it again at their next heartbeat, each second or so.
	copySettles = 5 * time.Second
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// idlePause is how often a follower that leaves reading to others looks
	// whether it should read itself.
	idlePause = 100 * time.Millisecond
	// mergePause joins changes that come close upon one another into one read.
	mergePause = 60 * time.Millisecond
)

// ConfigNews is what a read of the configuration brought.
type ConfigNews struct {
	// Config is nil when there was nothing new.
	Config *Config
	// Next is the position to go on from.
	Next int64
	// Lost says that the position is gone; everything is to be read anew.
	Lost bool
	// More tells that there was more to read at Next as this was read.
	More bool
	// Refused tells why the newest configuration was not understood, if it was not;
	// Config is then the newest one that was, if there is news of it.
	Refused error
	// Halls is what was read of closed data halls, which are published beside it.
	Halls HallNews
}

// WorkerNews is what a read of the worker list brought.
type WorkerNews struct {
	Changes []Change
	Next    int64
	Lost    bool
	// More tells that there is more to read at once: after Last in a whole list, else at Next.
	More bool
	Last string
	// Refused tells which entries were not understood; they are left out.
	Refused []error
}

// Source is where the configuration and the worker list are published.
type Source struct {
	// ReadConfig returns the newest configuration.
	ReadConfig func(ctx context.Context) (ConfigNews, error)
	// NextConfig waits for news after position.
	NextConfig func(ctx context.Context, position int64, wait time.Duration) (ConfigNews, error)
	// ReadWorkers returns the workers after one as changes, as many as it likes; an empty id
	// begins. Next is the position to go on from after the whole list if this is its
	// first part.
	ReadWorkers func(ctx context.Context, after string) (WorkerNews, error)
	// NextWorkers waits for news after position.
	NextWorkers func(ctx context.Context, position int64, wait time.Duration) (WorkerNews, error)
}

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Source  Source
	Beliefs *Beliefs
	// Halls takes the closed data halls; nil where none are published.
	Halls     *Halls
	Inventory *Inventory
	// Reads reports whether this daemon is to read now what it last knew to be
	// the newest at the given time, rather than to be told by a peer.
	Reads func(confirmed time.Time) bool
	// Spread returns how long failed reads are apart at least, so that a source which
	// comes back is not called by a large fleet at once; nil for no such bound.
	Spread func() time.Duration
	// Suspended returns for how long the machine was suspended in all; nil for one that never
	// is.
	Suspended func() time.Duration
	Logger    hclog.Logger
}

// Follower keeps beliefs and inventory up to date from their source.
type Follower struct {
	opts FollowerOptions
	// era is one more than the newest era that was read, 0 before the first read.
	era  atomic.Int64
	done chan struct{}
}

// NewFollower returns a follower; Run makes it work.
func NewFollower(opts FollowerOptions) *Follower {
	if opts.Suspended == nil {
		opts.Suspended = awake.Never
	}
	return &Follower{opts: opts, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	var group conc.WaitGroup
	group.Go(func() { newConfigReader(f).run(ctx) })
	group.Go(func() { f.followWorkers(ctx) })
	group.Wait()
}

func (f *Follower) followWorkers(ctx context.Context) {
	position := int64(-1)
	var list listing
	f.follow(ctx, "worker list", f.workersDue, func(ctx context.Context) error {
		if position < 0 || f.opts.Inventory.AwaitsList() {
			done, err := f.readList(ctx, &list)
			if done {
				position = list.next
				list = listing{}
				f.pauseIfAwaited(ctx)
			}
			return err
		}
		asked := awake.NewStamp(f.opts.Suspended)
		// What peers told since the last read need not be read again.
		position = max(position, f.opts.Inventory.Position())
		next, cancel := context.WithTimeout(ctx, newsWait+readMost)
		defer cancel()
		news, err := f.opts.Source.NextWorkers(next, position, newsWait)
		switch {
		case err != nil:
			return err
		case news.Lost:
			position = -1
			return nil
		}
		f.logRefused(news.Refused)
		read := Delta{From: position, To: news.Next, Changes: news.Changes}
		position = news.Next
		if news.More {
			f.opts.Inventory.TakePart(read, asked.Time())
			return nil
		}
		f.opts.Inventory.Take(read, asked.Time())
		pause.For(ctx, mergePause)
		return nil
	})
}

// pauseIfAwaited pauses if a list that was read could not be taken: it is behind what peers
// told, as that of a source which shows what is some seconds old. Read again at once it would
// be read 250 times a second.
func (f *Follower) pauseIfAwaited(ctx context.Context) {
	if f.opts.Inventory.AwaitsList() {
		pause.For(ctx, listAgain)
	}
}

// workersDue reports whether this daemon is to read the worker list now.
func (f *Follower) workersDue() bool {
	return f.opts.Inventory.AwaitsList() || f.opts.Reads(f.opts.Inventory.Confirmed())
}

// noteFirstEra holds what the first read brings, before which no era was known, of a source
// that came back from a copy some time.
func (f *Follower) noteFirstEra(before, era int64) {
	if before < 0 && era > 0 {
		f.opts.Beliefs.HoldReads(time.Now())
	}
}

// noteEra takes the era of what was read of either source. A later one than was known, by a
// read or by what peers told, says that the source came back from a copy: whichever of the two
// is read first tells so, and a daemon that has only been told by peers so far holds what it
// has as well.
func (f *Follower) noteEra(position int64) {
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

// listing is a whole list as far as it was read. Parts that were read are kept when the
// reading of one fails.
type listing struct {
	changes []Change
	// next is the position to go on from, which the first part told; sent is when that
	// was asked for.
	next int64
	sent awake.Stamp
	// after is the last worker read, empty before the first part.
	after string
}

// readList reads the next part of a whole list, and takes the list when it has them all.
func (f *Follower) readList(ctx context.Context, l *listing) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readMost)
	defer cancel()
	if l.after == "" || time.Since(l.sent.Time()) > listMost {
		*l = listing{sent: awake.NewStamp(f.opts.Suspended)}
	}
	news, err := f.opts.Source.ReadWorkers(ctx, l.after)
	if err != nil {
		return false, err
	}
	f.logRefused(news.Refused)
	switch {
	case l.after == "":
		l.next = news.Next
	case EraOf(news.Next) != EraOf(l.next):
		// The parts are of different lists.
		*l = listing{}
		return false, nil
	}
	l.changes, l.after = append(l.changes, news.Changes...), news.Last
	if news.More {
		return false, nil
	}
	f.noteEra(l.next)
	f.opts.Inventory.Replace(l.changes, l.next, l.sent.Time())
	return true, nil
}

func (f *Follower) logRefused(all []error) {
	for _, err := range all {
		f.opts.Logger.Warn("entry of a worker not understood", "error", err)
	}
}

// spread returns how long failed reads are apart at least.
func (f *Follower) spread() time.Duration {
	if f.opts.Spread == nil {
		return 0
	}
	return f.opts.Spread()
}

// follow reads again and again while this daemon is to read, and pauses longer
// and longer while reads fail. It logs each loss and return of the source once.
func (f *Follower) follow(ctx context.Context, what string, due func() bool, read func(context.Context) error) {
	backoff, lost := retryFirst, false
	for ctx.Err() == nil {
		if !due() {
			pause.For(ctx, idlePause)
			continue
		}
		err := read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if lost {
				f.opts.Logger.Info("source regained", "of", what)
			}
			backoff, lost = retryFirst, false
			continue
		}
		if !lost {
			f.opts.Logger.Warn("source lost", "of", what, "error", err)
			lost = true
		}
		backoff = max(backoff, f.spread())
		pause.For(ctx, backoff+rand.N(backoff))
		backoff = min(2*backoff, max(retryMost, f.spread()))
	}
}

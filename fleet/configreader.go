package fleet

import (
	"context"
	"time"

	"quartzshelf.dev/common/suspension"
)

// configReader keeps the configuration and the states of the data halls up to date from their
// source.
type configReader struct {
	*Follower
	// position is where the next read starts. A negative position makes the next read return the
	// newest configuration.
	position int64
	// era is how often the source had been restored from a copy as of the last read, or negative
	// before the first read.
	era int64
	// rereadAt is when to read everything again because the source was restored from a copy. It is
	// the zero time if no such read is due.
	rereadAt time.Time
	// newestIsInvalid is set while the newest configuration is invalid. Reads then do not confirm
	// the configuration in force, since the newer one may revoke keys.
	newestIsInvalid bool
	// isBehind is set while changes are published faster than sequential reads return them.
	isBehind bool
	// newestPosition is the position after the newest configuration when that was last read.
	newestPosition int64
}

func newConfigReader(f *Follower) *configReader {
	return &configReader{Follower: f, position: -1, era: -1}
}

// run reads until ctx ends.
func (c *configReader) run(ctx context.Context) {
	shouldRead := func() bool { return c.opts.ShouldRead(c.opts.ConfigCache.Confirmed()) }
	p := &poller{Follower: c.Follower, dataName: "configuration", shouldRead: shouldRead, read: c.readOnce}
	p.run(ctx)
}

// readOnce does one read and applies its result.
func (c *configReader) readOnce(ctx context.Context) error {
	sent := suspension.NewStamp(c.opts.Suspended)
	if !c.rereadAt.IsZero() && sent.Time().After(c.rereadAt) {
		c.position, c.rereadAt = -1, time.Time{}
	}
	if c.isBehind {
		c.position = -1
	}
	isIncremental := c.position >= 0
	update, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	c.updateIsBehind(update, isIncremental, sent.Time())
	c.observeEra(update.Next, sent.Time())
	c.position = update.Next
	if update.PositionLost {
		c.position = -1
		return nil
	}
	c.apply(update, sent.Time())
	return nil
}

// fetch reads the newest configuration, or waits for changes after the current position.
func (c *configReader) fetch(ctx context.Context) (ConfigUpdate, error) {
	if c.position < 0 {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return c.opts.Source.ReadConfig(ctx)
	}
	wait := pollWait
	if c.opts.ConfigCache.Config() == nil {
		wait = firstConfigWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return c.opts.Source.NextConfig(ctx, c.position, wait)
}

// updateIsBehind sets isBehind from the result of a read. While isBehind is set, reads skip to the
// newest configuration. Reading each change in turn from a slow source would fall further behind.
func (c *configReader) updateIsBehind(update ConfigUpdate, isIncremental bool, sent time.Time) {
	if isIncremental {
		c.isBehind = update.More
		return
	}
	hasChanged := update.Next != c.newestPosition
	c.isBehind = c.isBehind && hasChanged && time.Since(sent) > pollWait
	c.newestPosition = update.Next
}

// observeEra updates the era from a read that was sent at the given time. If the source was
// restored since the previous read, it schedules another full read.
func (c *configReader) observeEra(position int64, sent time.Time) {
	era := EraOf(position)
	if c.era >= 0 && era > c.era {
		c.rereadAt = sent.Add(restoreSettleTime)
	}
	c.holdFirstReads(c.era, era)
	c.advanceEra(position)
	c.era = era
}

// apply applies the result of a read sent at the given time.
func (c *configReader) apply(update ConfigUpdate, sent time.Time) {
	if update.More {
		// The remaining changes may revoke keys or close data halls, so nothing is confirmed.
		sent = time.Time{}
	}
	c.applyHalls(update, sent)
	switch {
	case update.ConfigErr != nil:
		c.opts.Logger.Error("invalid configuration; keeping the last valid one", "error", update.ConfigErr)
		c.newestIsInvalid = true
		if update.Config != nil {
			c.opts.ConfigCache.Offer(update.Config, time.Time{})
		}
	case update.Config != nil:
		c.opts.ConfigCache.Offer(update.Config, sent)
		c.newestIsInvalid = false
	case !c.newestIsInvalid:
		c.opts.ConfigCache.ConfirmRead(sent)
	}
}

// applyHalls applies the states of data halls that a read returned.
func (c *configReader) applyHalls(update ConfigUpdate, sent time.Time) {
	if c.opts.Halls == nil {
		return
	}
	for _, err := range update.Halls.EntryErrs {
		c.opts.Logger.Error("invalid data hall entry; keeping its last state", "error", err)
	}
	c.opts.Halls.ApplyRead(update.Halls, update.Next, sent)
}

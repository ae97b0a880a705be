package fleet

import (
	"context"
	"time"

	"quartzshelf.dev/common/awake"
)

// configReader keeps the configuration, and which data halls are closed, up to date from their
// source.
type configReader struct {
	*Follower
	// position is from where to read on; negative to read the newest.
	position int64
	// era is that of the last read; negative before the first.
	era int64
	// readAgain is when everything is read anew after the source came back from a copy; the
	// zero time for never.
	readAgain time.Time
	// refused tells that the newest configuration is not understood, so that the one in
	// force is not confirmed: the newer one may have taken keys away.
	refused bool
	// behind tells that changes come faster than they are read one after the other.
	behind bool
	// newest is where the source ended at the last read of the newest.
	newest int64
}

func newConfigReader(f *Follower) *configReader {
	return &configReader{Follower: f, position: -1, era: -1}
}

// run reads until ctx ends.
func (c *configReader) run(ctx context.Context) {
	due := func() bool { return c.opts.Reads(c.opts.Beliefs.Confirmed()) }
	c.follow(ctx, "configuration", due, c.next)
}

// next reads once.
func (c *configReader) next(ctx context.Context) error {
	asked := awake.NewStamp(c.opts.Suspended)
	if !c.readAgain.IsZero() && asked.Time().After(c.readAgain) {
		c.position, c.readAgain = -1, time.Time{}
	}
	if c.behind {
		c.position = -1
	}
	followed := c.position >= 0
	news, err := c.read(ctx)
	if err != nil {
		return err
	}
	c.noteBehind(news, followed, asked.Time())
	c.noteEras(news.Next, asked.Time())
	c.position = news.Next
	if news.Lost {
		c.position = -1
		return nil
	}
	c.take(news, asked.Time())
	return nil
}

func (c *configReader) read(ctx context.Context) (ConfigNews, error) {
	if c.position < 0 {
		ctx, cancel := context.WithTimeout(ctx, readMost)
		defer cancel()
		return c.opts.Source.ReadConfig(ctx)
	}
	wait := newsWait
	if c.opts.Beliefs.Config() == nil {
		wait = firstWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readMost)
	defer cancel()
	return c.opts.Source.NextConfig(ctx, c.position, wait)
}

// noteBehind decides whether the newest is read next. Read one after the other, changes that
// come faster than a slow source tells them would be known later and later.
func (c *configReader) noteBehind(news ConfigNews, followed bool, sent time.Time) {
	if followed {
		c.behind = news.More
		return
	}
	grew := news.Next != c.newest
	c.behind = c.behind && grew && time.Since(sent) > newsWait
	c.newest = news.Next
}

// noteEras notes the era of a read.
func (c *configReader) noteEras(position int64, sent time.Time) {
	era := EraOf(position)
	if c.era >= 0 && era > c.era {
		c.readAgain = sent.Add(copySettles)
	}
	c.noteFirstEra(c.era, era)
	c.noteEra(position)
	c.era = era
}

// take takes what a read brought that was sent at a time.
func (c *configReader) take(news ConfigNews, sent time.Time) {
	if news.More {
		// What is yet to be read may take keys away, or close data halls.
		sent = time.Time{}
	}
	c.takeHalls(news, sent)
	switch {
	case news.Refused != nil:
		c.opts.Logger.Error("configuration not understood: the last one stays in force", "error", news.Refused)
		c.refused = true
		if news.Config != nil {
			c.opts.Beliefs.Offer(news.Config, time.Time{})
		}
	case news.Config != nil:
		c.opts.Beliefs.Offer(news.Config, sent)
		c.refused = false
	case !c.refused:
		c.opts.Beliefs.ConfirmRead(sent)
	}
}

// takeHalls takes what a read brought of closed data halls.
func (c *configReader) takeHalls(news ConfigNews, sent time.Time) {
	if c.opts.Halls == nil {
		return
	}
	for _, err := range news.Halls.Refused {
		c.opts.Logger.Error("entry of a data hall not understood: its last state stays", "error", err)
	}
	c.opts.Halls.Take(news.Halls, news.Next, sent)
}

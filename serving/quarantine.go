package serving

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/formation"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/quarantine/guard"
)

const (
	// keepMarksEvery is how often a leader looks whether marks are to be kept, readMarksEvery
	// how often it reads those that are kept, so that a mark that an operator removes is
	// lifted.
	keepMarksEvery = 500 * time.Millisecond
	readMarksEvery = 30 * time.Second
	// readMarksAgain is how soon that is tried again when it failed.
	readMarksAgain = 2 * time.Second
	// liftAfter is how long ago a mark must have been read for its absence to mean that it
	// was removed: answers of the store may be some seconds behind.
	liftAfter = 10 * time.Second
	// marksTimeout bounds a call to where marks are kept.
	marksTimeout = time.Second
	// byStore stands in logs for the place where marks are kept.
	byStore = "store"
)

// MarkStore keeps the requests that are quarantined beyond the life of all daemons. Read and
// Write are nil where nothing is kept.
type MarkStore struct {
	// Read returns the marks that are kept, and an error for each record that is none.
	Read func(ctx context.Context) (marks []quarantine.Mark, refused []error, err error)
	// Write keeps a mark; one without a time at which it ends is removed.
	Write func(ctx context.Context, m quarantine.Mark) error
}

// markKeeper keeps marks while this daemon leads.
type markKeeper struct {
	server *Server
	// kept holds the marks that are known to be kept.
	kept map[quarantine.Fingerprint]keptMark
	// readAt is when they are to be read next.
	readAt time.Time
	// refused is what was last said of records that are no marks, so that it is logged once.
	refused string
}

// keptMark is a mark that is known to be kept until a time. readAt is when it was first read;
// the zero time if it was only written.
type keptMark struct {
	until, readAt time.Time
}

// keepMarks keeps the marks that daemons set until ctx ends, so that a request does not begin
// anew to end workers when all daemons have ended at once.
func (s *Server) keepMarks(ctx context.Context) {
	if s.opts.Marks.Read == nil || s.opts.Marks.Write == nil {
		return
	}
	k := &markKeeper{server: s, kept: make(map[quarantine.Fingerprint]keptMark)}
	for ctx.Err() == nil {
		if s.isReader() {
			k.look(ctx, time.Now())
		} else {
			// Another leader may write meanwhile, and the store may come back without what was
			// written: what it lacks in the next term was not lifted by an operator.
			k.readAt = time.Time{}
			clear(k.kept)
		}
		pause.For(ctx, keepMarksEvery)
	}
}

func (k *markKeeper) guard() *guard.Guard { return k.server.relay.Guard() }

// look reads what is kept when that is due, and writes what is not.
func (k *markKeeper) look(ctx context.Context, now time.Time) {
	if !now.Before(k.readAt) && !k.read(ctx, now) {
		return
	}
	for _, m := range k.guard().Table().Marks(now) {
		if held, ok := k.kept[m.Fingerprint]; !ok || m.Until.After(held.until) {
			k.write(ctx, m)
		}
	}
	for f := range k.kept {
		if !k.guard().Table().State(f, now).Quarantined {
			k.write(ctx, quarantine.Mark{Fingerprint: f})
		}
	}
}

// read takes what is kept, and reports whether it is known now. What was kept and is gone
// was lifted by an operator.
func (k *markKeeper) read(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, marksTimeout)
	defer cancel()
	marks, refused, err := k.server.opts.Marks.Read(ctx)
	if err != nil {
		k.server.logger.Info("marks of quarantined requests not read", "error", err)
		k.readAt = now.Add(readMarksAgain)
		return false
	}
	k.readAt = now.Add(readMarksEvery)
	k.tellRefused(refused)
	k.liftRemoved(marks, now)
	for _, m := range marks {
		held := k.kept[m.Fingerprint]
		k.kept[m.Fingerprint] = keptMark{until: m.Until, readAt: cmp.Or(held.readAt, now)}
		k.guard().Restore(m, byStore)
	}
	return true
}

// tellRefused logs once which records are no marks. Nothing is done to them: another writer
// may know what they are.
func (k *markKeeper) tellRefused(refused []error) {
	text := ""
	if len(refused) > 0 {
		text = errors.Join(refused...).Error()
	}
	if text != "" && text != k.refused {
		k.server.logger.Warn("records of quarantined requests not understood", "error", text)
	}
	k.refused = text
}

// liftRemoved lifts the marks that were read before and are not kept any more.
func (k *markKeeper) liftRemoved(marks []quarantine.Mark, now time.Time) {
	for f, held := range k.kept {
		kept := slices.ContainsFunc(marks, func(m quarantine.Mark) bool { return m.Fingerprint == f })
		if kept || held.readAt.IsZero() || now.Sub(held.readAt) < liftAfter {
			continue
		}
		delete(k.kept, f)
		k.guard().Lift(f, byStore)
	}
}

// write keeps a mark, or removes one.
func (k *markKeeper) write(ctx context.Context, m quarantine.Mark) {
	ctx, cancel := context.WithTimeout(ctx, marksTimeout)
	defer cancel()
	if err := k.server.opts.Marks.Write(ctx, m); err != nil {
		// It may be kept all the same; the next look writes it again.
		k.server.logger.Info("mark of a quarantined request not kept", "fingerprint", m.Fingerprint.String(), "error", err)
		return
	}
	if m.Until.IsZero() {
		delete(k.kept, m.Fingerprint)
		return
	}
	k.kept[m.Fingerprint] = keptMark{until: m.Until, readAt: k.kept[m.Fingerprint].readAt}
}

// heardQuarantine takes what a peer reports of requests that end workers. A relay passes news
// on at once.
func (s *Server) heardQuarantine(p *peers.Peer) {
	if s.relay.Guard().Merge(p.Quarantine, p.HeardAt, p.ID) && s.passesOn() {
		s.agent.SendHeartbeat(time.Now())
	}
}

// replaced reports whether another life has the address of a worker.
func (s *Server) replaced(ctx context.Context, w *fleet.Worker) (bool, error) {
	if s.opts.Orders.Ask == nil {
		return false, nil
	}
	state, err := s.opts.Orders.Ask(ctx, w)
	if errors.Is(err, formation.ErrElsewhere) {
		return true, nil
	}
	return err == nil && state.Born != 0 && w.Born != 0 && state.Born != w.Born, err
}

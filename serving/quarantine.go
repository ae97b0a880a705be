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
	// marksSyncInterval is the time between two checks by the leader for marks to store.
	// marksReadInterval is the time between two reads of the stored marks, which detect the marks
	// that an operator removed.
	marksSyncInterval = 500 * time.Millisecond
	marksReadInterval = 30 * time.Second
	// marksRetryDelay is the delay before a failed read is tried again.
	marksRetryDelay = 2 * time.Second
	// marksLiftDelay is the time after the first read of a mark before its absence from the store
	// counts as a removal. Reads of the store may be a few seconds out of date.
	marksLiftDelay = 10 * time.Second
	// marksTimeout limits a call to the store of marks.
	marksTimeout = time.Second
	// storeSource names the store as the source of a mark in logs.
	storeSource = "store"
)

// QuarantineMarkStore persists the marks of quarantined requests, so that they survive a restart of
// all daemons. Read and Write are nil if marks are not stored.
type QuarantineMarkStore struct {
	// Read returns the stored marks, and an error for each record that is not a valid mark.
	Read func(ctx context.Context) (marks []quarantine.Mark, refused []error, err error)
	// Write stores a mark, or removes it if its Until is zero.
	Write func(ctx context.Context, m quarantine.Mark) error
}

// markSyncer stores marks while this daemon leads.
type markSyncer struct {
	server *Server
	// stored holds the marks known to be in the store.
	stored map[quarantine.Fingerprint]storedMark
	// nextRead is when the stored marks are to be read again.
	nextRead time.Time
	// loggedRefusals is the text logged last about invalid records, so that it is not repeated.
	loggedRefusals string
}

// storedMark is a mark known to be stored. firstReadAt is when it was first read; zero if it was
// only written.
type storedMark struct {
	until, firstReadAt time.Time
}

func newMarkSyncer(s *Server) *markSyncer {
	return &markSyncer{server: s, stored: make(map[quarantine.Fingerprint]storedMark)}
}

// syncMarks keeps the stored marks up to date while this daemon leads, until ctx ends.
func (s *Server) syncMarks(ctx context.Context) {
	if s.opts.QuarantineMarks.Read == nil || s.opts.QuarantineMarks.Write == nil {
		return
	}
	k := newMarkSyncer(s)
	for ctx.Err() == nil {
		if s.isReader() {
			k.sync(ctx, time.Now())
		} else {
			// Another leader may remove marks in the meantime, or the store may lose them. If a
			// mark is missing in this daemon's next term, that does not mean that an operator
			// removed it.
			k.nextRead = time.Time{}
			clear(k.stored)
		}
		pause.Sleep(ctx, marksSyncInterval)
	}
}

// readMarksAtStart reads the stored marks, so that daemons that all start together need not wait for
// a leader to learn which requests are quarantined. It returns when it has read them, when peers that
// are ready report them, or when this daemon leads, since the leader reads them anyway.
func (s *Server) readMarksAtStart(ctx context.Context) {
	if s.opts.QuarantineMarks.Read == nil {
		return
	}
	k := newMarkSyncer(s)
	for ctx.Err() == nil && !s.isReader() && !s.hasReadyPeer() {
		wait := startCheckInterval
		if now := time.Now(); s.shouldReadInitially(now) {
			if k.read(ctx, now) {
				return
			}
			wait = marksRetryDelay
		}
		pause.Sleep(ctx, wait)
	}
}

func (k *markSyncer) guard() *guard.Guard { return k.server.proxy.Guard() }

// sync reads the stored marks if a read is due, and writes changes to the store. It does nothing if
// the read fails.
func (k *markSyncer) sync(ctx context.Context, now time.Time) {
	if !now.Before(k.nextRead) && !k.read(ctx, now) {
		return
	}
	for _, m := range k.guard().Marks(now) {
		if known, ok := k.stored[m.Fingerprint]; !ok || m.Until.After(known.until) {
			k.write(ctx, m)
		}
	}
	for f := range k.stored {
		if !k.guard().IsQuarantined(f, now) {
			k.write(ctx, quarantine.Mark{Fingerprint: f})
		}
	}
}

// read loads the stored marks and reports whether that succeeded. It lifts the marks that an
// operator removed from the store.
func (k *markSyncer) read(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, marksTimeout)
	defer cancel()
	marks, refused, err := k.server.opts.QuarantineMarks.Read(ctx)
	if err != nil {
		k.server.logger.Info("reading marks of quarantined requests failed", "error", err)
		k.nextRead = now.Add(marksRetryDelay)
		return false
	}
	k.nextRead = now.Add(marksReadInterval)
	k.logRefused(refused)
	k.liftRemoved(marks, now)
	for _, m := range marks {
		known := k.stored[m.Fingerprint]
		k.stored[m.Fingerprint] = storedMark{until: m.Until, firstReadAt: cmp.Or(known.firstReadAt, now)}
		k.guard().Restore(m, storeSource)
	}
	return true
}

// logRefused logs the invalid records, unless the previous read found the same ones. They are not
// deleted, because another version may be able to read them.
func (k *markSyncer) logRefused(refused []error) {
	text := ""
	if len(refused) > 0 {
		text = errors.Join(refused...).Error()
	}
	if text != "" && text != k.loggedRefusals {
		k.server.logger.Warn("invalid records of quarantined requests", "error", text)
	}
	k.loggedRefusals = text
}

// liftRemoved lifts the marks that are no longer stored, if they were first read at least
// marksLiftDelay ago.
func (k *markSyncer) liftRemoved(marks []quarantine.Mark, now time.Time) {
	for f, mark := range k.stored {
		isStored := slices.ContainsFunc(marks, func(m quarantine.Mark) bool { return m.Fingerprint == f })
		if isStored || mark.firstReadAt.IsZero() || now.Sub(mark.firstReadAt) < marksLiftDelay {
			continue
		}
		delete(k.stored, f)
		k.guard().Lift(f, storeSource)
	}
}

// write stores a mark, or removes it if its Until is zero.
func (k *markSyncer) write(ctx context.Context, m quarantine.Mark) {
	ctx, cancel := context.WithTimeout(ctx, marksTimeout)
	defer cancel()
	if err := k.server.opts.QuarantineMarks.Write(ctx, m); err != nil {
		// The next sync repeats the write, which may nevertheless have succeeded.
		k.server.logger.Info("writing mark of quarantined request failed", "fingerprint", m.Fingerprint.String(), "error", err)
		return
	}
	if m.Until.IsZero() {
		delete(k.stored, m.Fingerprint)
		return
	}
	k.stored[m.Fingerprint] = storedMark{until: m.Until, firstReadAt: k.stored[m.Fingerprint].firstReadAt}
}

// mergeQuarantine adds a peer's records of requests and of parts of prompts that crash workers.
// Leaders and relays forward changes of the former at once.
func (s *Server) mergeQuarantine(p *peers.Peer) {
	s.proxy.Guard().MergeParts(p.QuarantineParts, p.LastHeartbeatAt, p.ID)
	if s.proxy.Guard().Merge(p.Quarantine, p.LastHeartbeatAt, p.ID) && s.forwardsNews() {
		s.agent.SendHeartbeat(time.Now())
	}
}

// isReplaced reports whether the address of a worker now belongs to another incarnation or worker.
func (s *Server) isReplaced(ctx context.Context, w *fleet.Worker) (bool, error) {
	if s.opts.Orders.QueryState == nil {
		return false, nil
	}
	state, err := s.opts.Orders.QueryState(ctx, w)
	if errors.Is(err, formation.ErrWrongWorker) {
		return true, nil
	}
	return err == nil && state.StartedAt != 0 && w.StartedAt != 0 && state.StartedAt != w.StartedAt, err
}

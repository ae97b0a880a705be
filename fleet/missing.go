package fleet

import (
	"time"

	"quartzshelf.dev/common/failure"
)

const (
	// outageThreshold is the minimum time without a confirmation of the list after which the source
	// may have been unavailable.
	outageThreshold = 1600 * time.Millisecond
	// heartbeatsUntilExpiry is the number of heartbeats after which the entry of a silent worker
	// expires.
	heartbeatsUntilExpiry = 3
	// readAnswerTime is the time beyond pollWait after which a read without an answer counts as
	// failed.
	readAnswerTime = 200 * time.Millisecond
	// postOutageWindow is how long after an outage a missing entry may be one that expired because
	// its worker could not write. Such a worker writes again within two seconds; the rest is the
	// time until all daemons know of that.
	postOutageWindow = 2300 * time.Millisecond
	// leaveMargin is subtracted from the bounds on workers that leave. It covers the time until a
	// deadline that has passed is noticed.
	leaveMargin = 300 * time.Millisecond
)

// Outage describes an outage of the source of the worker list, as this daemon saw it.
type Outage struct {
	// Unconfirmed is the time between the last confirmation of the list before the outage and the
	// first one after it.
	Unconfirmed time.Duration
	// SinceFailure is the time since the last read that failed was sent. It limits how much later
	// than the end of the outage this daemon learned of it.
	SinceFailure time.Duration
}

// missingEntry is the state of a worker whose entry is missing.
type missingEntry struct {
	// listedUntil is the time until which the worker still counts as listed, so that a leader
	// neither replaces it nor gives it to another group.
	listedUntil time.Time
	// usableUntil is the time until which requests may be sent to the worker. It is not after
	// listedUntil.
	usableUntil time.Time
	// isUsable is set until usableUntil is noticed to have passed.
	isUsable bool
}

// missingEntries decides whether workers whose entries disappeared still count as listed, and whether
// requests may still be sent to them. An entry may disappear because its worker left, or because it
// expired in an outage of the source.
type missingEntries struct {
	// leaveBound is the time after which a worker that left must get no more requests; zero means no
	// limit.
	leaveBound time.Duration
	// settleTime is how long the source must have served this daemon before leaveBound binds it.
	settleTime time.Duration
	// minOutage is the minimum time between two confirmations of the list if entries of live workers
	// expired in between.
	minOutage time.Duration
	// readSent is when the read in flight was sent, zero if none is. failedReadSent is when the last
	// read that failed was sent.
	readSent, failedReadSent time.Time
	// outageEnd is when this daemon learned that the last outage had ended. unservedAt is a time at
	// which the source did not serve this daemon, as late in that outage as known.
	outageEnd, unservedAt time.Time
	entries               map[string]*missingEntry
	// onOutage is called at the end of each outage; nil for none.
	onOutage func(Outage)
}

func newMissingEntries(opts InventoryOptions) missingEntries {
	// A worker writes up to one heartbeat before an outage begins. Heartbeats may be somewhat early.
	const earlyFraction = 4
	return missingEntries{
		leaveBound: opts.LeaveBound, settleTime: opts.SettleTime,
		minOutage: max(outageThreshold, (heartbeatsUntilExpiry-1)*opts.Heartbeat-opts.Heartbeat/earlyFraction),
		entries:   make(map[string]*missingEntry),
	}
}

// detectOutage records that an outage ends now if the list, which was last confirmed at one time, is
// confirmed as of a much later one, and the source failed to serve this daemon in between. The time
// alone does not show an outage: the leader may have stopped to confirm the list although the source
// serves this daemon.
func (m *missingEntries) detectOutage(confirmed, next time.Time) {
	if confirmed.IsZero() || next.Sub(confirmed) <= m.minOutage {
		return
	}
	now := time.Now()
	failed := m.lastFailedRead(now)
	if !failed.After(confirmed) {
		return
	}
	m.outageEnd, m.unservedAt = now, failed
	if m.onOutage != nil {
		m.onOutage(Outage{Unconfirmed: next.Sub(confirmed), SinceFailure: now.Sub(failed)})
	}
}

// recordRestore records that the source was restored from a copy at an unknown time after the list was
// last confirmed.
func (m *missingEntries) recordRestore(confirmed, now time.Time) {
	m.outageEnd, m.unservedAt = now, confirmed
}

// lastFailedRead returns when the last read was sent that failed, or that is in flight without an answer
// for longer than usual. It is zero if there was none.
func (m *missingEntries) lastFailedRead(now time.Time) time.Time {
	if !m.readSent.IsZero() && now.Sub(m.readSent) > pollWait+readAnswerTime {
		return m.readSent
	}
	return m.failedReadSent
}

// keep reports whether the worker of a missing entry still counts as listed. The entry was known to
// be listed at the given time. The first call for an entry determines its deadlines.
func (m *missingEntries) keep(id string, listedAt, now time.Time) bool {
	e, ok := m.entries[id]
	if !ok {
		listedUntil := m.listedDeadline(listedAt)
		e = &missingEntry{listedUntil: listedUntil, usableUntil: m.usableDeadline(listedUntil)}
		e.isUsable = now.Before(e.usableUntil)
	}
	if !now.Before(e.listedUntil) {
		return false
	}
	m.entries[id] = e
	return true
}

// listedDeadline returns the time until which a worker counts as listed if its entry disappeared after
// the given time. If that was after the end of the outage, the worker may have left since, so the bound
// on workers that leave applies, counted from the earliest time at which it can have left.
func (m *missingEntries) listedDeadline(listedAt time.Time) time.Time {
	if m.outageEnd.IsZero() {
		return time.Time{}
	}
	until := m.outageEnd.Add(postOutageWindow)
	if m.leaveBound <= 0 || listedAt.Before(m.outageEnd) {
		return until
	}
	if latest := listedAt.Add(m.leaveBound - leaveMargin); latest.Before(until) {
		return latest
	}
	return until
}

// usableDeadline returns the time until which requests may be sent to the worker of a missing entry. The
// worker may have left before the outage, and the bound on such workers binds this daemon again when the
// source has served it for settleTime. That time is counted from unservedAt, since the outage may have
// ended right after it.
func (m *missingEntries) usableDeadline(listedUntil time.Time) time.Time {
	if m.leaveBound <= 0 {
		return listedUntil
	}
	if latest := m.unservedAt.Add(m.settleTime - leaveMargin); latest.Before(listedUntil) {
		return latest
	}
	return listedUntil
}

// has reports whether the entry of a worker that still counts as listed is missing.
func (m *missingEntries) has(id string) bool { return m.entries[id] != nil }

// isUsable reports whether requests may be sent to a worker that counts as listed.
func (m *missingEntries) isUsable(id string) bool {
	e := m.entries[id]
	return e == nil || e.isUsable
}

// found forgets the state of a worker whose entry is listed again.
func (m *missingEntries) found(id string) { delete(m.entries, id) }

// expire removes the workers that no longer count as listed and returns them. It reports whether the
// state of any worker changed.
func (m *missingEntries) expire(now time.Time) (expired []string, changed bool) {
	for id, e := range m.entries {
		switch {
		case !now.Before(e.listedUntil):
			delete(m.entries, id)
			expired = append(expired, id)
		case e.isUsable && !now.Before(e.usableUntil):
			e.isUsable, changed = false, true
		}
	}
	return expired, changed || len(expired) > 0
}

// addSuspension moves all times back by the time for which the machine was suspended.
func (m *missingEntries) addSuspension(suspended time.Duration) {
	for _, at := range []*time.Time{&m.readSent, &m.failedReadSent, &m.outageEnd, &m.unservedAt} {
		if !at.IsZero() {
			*at = at.Add(-suspended)
		}
	}
	for _, e := range m.entries {
		e.listedUntil, e.usableUntil = e.listedUntil.Add(-suspended), e.usableUntil.Add(-suspended)
	}
}

// counts returns the number of workers whose entries are missing and that still count as listed, and
// the number of those to which requests may be sent.
func (m *missingEntries) counts() (listed, usable int) {
	for _, e := range m.entries {
		if e.isUsable {
			usable++
		}
	}
	return len(m.entries), usable
}

// OnOutage sets the function that is called at the end of each outage of the list. It must not call
// the inventory.
func (i *Inventory) OnOutage(f func(Outage)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.missing.onOutage = f
}

// BeginRead records that this daemon sent a read of the list at the given time.
func (i *Inventory) BeginRead(sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.missing.readSent = sent
}

// EndRead records the end of the read in flight. An error means that the source did not serve it,
// unless the source only limits the rate of reads.
func (i *Inventory) EndRead(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err != nil && !failure.Is(err, failure.Limited) {
		i.missing.failedReadSent = i.missing.readSent
	}
	i.missing.readSent = time.Time{}
	i.expireMissing()
}

// Missing returns the number of workers whose entries are missing and that still count as listed, and
// the number of those to which requests may be sent.
func (i *Inventory) Missing() (listed, usable int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.missing.counts()
}

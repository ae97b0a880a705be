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
	// leaveMargin is subtracted from the leave bound of NewInventory. It covers the time until a
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

// missingEntries decides whether workers whose entries disappeared still count as listed. An entry
// may disappear because its worker left, or because it expired in an outage of the source.
type missingEntries struct {
	// leaveBound is the time after which a worker that left must get no more requests; zero means no
	// limit.
	leaveBound time.Duration
	// minOutage is the minimum time between two confirmations of the list if entries of live workers
	// expired in between.
	minOutage time.Duration
	// readSent is when the read in flight was sent, zero if none is. failedReadSent is when the last
	// read that failed was sent.
	readSent, failedReadSent time.Time
	// outageEnd is when the source became available again after the last outage.
	outageEnd time.Time
	// keptUntil holds, for each worker whose entry is missing, the time until which the worker still
	// counts as listed.
	keptUntil map[string]time.Time
	// onOutage is called at the end of each outage; nil for none.
	onOutage func(Outage)
}

func newMissingEntries(heartbeat, leaveBound time.Duration) missingEntries {
	// A worker writes up to one heartbeat before an outage begins. Heartbeats may be somewhat early.
	const earlyFraction = 4
	return missingEntries{
		leaveBound: leaveBound, minOutage: max(outageThreshold, (heartbeatsUntilExpiry-1)*heartbeat-heartbeat/earlyFraction),
		keptUntil: make(map[string]time.Time),
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
	m.outageEnd = now
	if m.onOutage != nil {
		m.onOutage(Outage{Unconfirmed: next.Sub(confirmed), SinceFailure: now.Sub(failed)})
	}
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
// be listed at the given time. The first call for an entry determines the deadline.
func (m *missingEntries) keep(id string, listedAt, now time.Time) bool {
	until, ok := m.keptUntil[id]
	if !ok {
		until = m.deadline(listedAt)
	}
	if !now.Before(until) {
		return false
	}
	m.keptUntil[id] = until
	return true
}

// deadline returns the time until which a worker counts as listed if its entry disappeared after the
// given time. If that was after the end of the outage, the worker may have left since, so the bound
// on workers that leave applies, counted from the earliest time at which it can have left.
func (m *missingEntries) deadline(listedAt time.Time) time.Time {
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

// has reports whether the entry of a worker that still counts as listed is missing.
func (m *missingEntries) has(id string) bool {
	_, ok := m.keptUntil[id]
	return ok
}

// takeExpired removes and returns the workers whose deadline has passed.
func (m *missingEntries) takeExpired(now time.Time) []string {
	var expired []string
	for id, until := range m.keptUntil {
		if !now.Before(until) {
			delete(m.keptUntil, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// addSuspension moves all times back by the time for which the machine was suspended.
func (m *missingEntries) addSuspension(suspended time.Duration) {
	for _, at := range []*time.Time{&m.readSent, &m.failedReadSent, &m.outageEnd} {
		if !at.IsZero() {
			*at = at.Add(-suspended)
		}
	}
	for id, until := range m.keptUntil {
		m.keptUntil[id] = until.Add(-suspended)
	}
}

// OnOutage sets the function that is called at the end of each outage of the list. It must not call
// the inventory.
func (i *Inventory) OnOutage(f func(Outage)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.missing.onOutage = f
}

// CountMissing returns the number of workers that count as listed although their entries are missing.
func (i *Inventory) CountMissing() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.missing.keptUntil)
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
}

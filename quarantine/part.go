package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"
	"time"
)

const (
	// partCrashesToMark is the number of independent crashes, without a completed run between them,
	// after which a part of prompts is quarantined.
	partCrashesToMark = 4
	// minPartEvidencePeriod is the minimum time between the first and the last of these crashes. In
	// that time requests with the same innocent parts complete.
	minPartEvidencePeriod = 500 * time.Millisecond
	// partSettleTime is the age at which a crash counts as evidence against a part. By then this
	// daemon has heard which other requests the worker had.
	partSettleTime = 700 * time.Millisecond
	// maxPartCrashes is the maximum number of crashes in the record of a part. The newest are kept.
	// crowdedPartCrashes is how many of them may be within commonCauseWindow of another, so that the
	// record reaches back further than partSettleTime and minPartEvidencePeriod at any rate of
	// crashes.
	maxPartCrashes     = 24
	crowdedPartCrashes = 2
	// maxChangedParts is the maximum number of changed records of parts in one report. They hold more
	// crashes than those of requests.
	maxChangedParts = 16
)

// Part is a part of a prompt that several requests may share.
type Part struct {
	Fingerprint Fingerprint
	// Label is the ID of the part as the client stated it, for logs.
	Label string
}

// PartOf returns a part of a client account's prompts. Its fingerprint differs from those of all
// requests and of other accounts' parts.
func PartOf(account, id string) Part {
	h := sha256.New()
	var length [8]byte
	for _, text := range [...]string{"prompt part", account, id} {
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		// Writing to a hash does not fail.
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, text)
	}
	var sum [sha256.Size]byte
	return Part{Fingerprint: Fingerprint(h.Sum(sum[:0])[:fingerprintSize]), Label: id}
}

// NewPartTable returns an empty table with the records of parts of prompts. A request that crashes a
// worker has several parts, and the worker had other requests as well. Therefore a part is
// quarantined only by Evaluate, if no other part explains its crashes.
func NewPartTable() *Table {
	t := NewTable()
	t.isForParts = true
	return t
}

// BlameParts records that a worker ended while it had a request with the parts, which are in the order
// of the prompt.
func (t *Table) BlameParts(parts []Part, c Crash, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, p := range parts {
		r := t.ensureRecord(p.Fingerprint, now)
		r.label, r.depth = p.Label, max(r.depth, i)
		if r.addToPart(c) {
			r.changedAt, r.observedLocally = now, true
		}
	}
}

// addToPart is like add, for the record of a part. It ignores a crash if enough others were recorded
// close to it.
func (r *record) addToPart(c Crash) bool {
	return r.countCrashesNear(c.Ended) < crowdedPartCrashes && r.addUpTo(c, maxPartCrashes)
}

// countCrashesNear returns the number of crashes within commonCauseWindow of a time.
func (r *record) countCrashesNear(at time.Time) int {
	count := 0
	for _, c := range r.crashes {
		if c.Ended.Sub(at).Abs() < commonCauseWindow {
			count++
		}
	}
	return count
}

// Evaluate quarantines the parts against which there is enough evidence, and returns them.
func (t *Table) Evaluate(now time.Time) []Part {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var marked []Part
	for f, r := range t.records {
		if r.isQuarantined(now) || !r.hasPartEvidence(now) || t.isExplained(r, now) {
			continue
		}
		r.mark(r.newestCrash(), r.newestCrash().Add(periodAfter(r.rounds)), min(r.rounds+1, maxRounds))
		r.changedAt = now
		marked = append(marked, Part{Fingerprint: f, Label: r.label})
	}
	return marked
}

// settledCrashes returns the crashes that are older than partSettleTime.
func (r *record) settledCrashes(now time.Time) []Crash {
	isRecent := func(c Crash) bool { return now.Sub(c.Ended) < partSettleTime }
	if i := slices.IndexFunc(r.crashes, isRecent); i >= 0 {
		return r.crashes[:i]
	}
	return r.crashes
}

// hasPartEvidence reports whether enough settled crashes happened since the part was last cleared.
// After its first quarantine, one further crash is enough.
func (r *record) hasPartEvidence(now time.Time) bool {
	settled := r.settledCrashes(now)
	if len(settled) == 0 {
		return false
	}
	first, last := settled[0].Ended, settled[len(settled)-1].Ended
	if r.rounds > 0 {
		return last.After(r.until)
	}
	return last.Sub(first) >= minPartEvidencePeriod && countIndependentCrashes(settled) >= partCrashesToMark
}

// isExplained reports whether another part was at each worker whose crash is recorded for this one,
// and is more likely the cause: it was at more crashes, or it comes later in the prompts. Later
// parts are shared by fewer requests.
func (t *Table) isExplained(r *record, now time.Time) bool {
	crashes := r.settledCrashes(now)
	for _, other := range t.records {
		if other == r {
			continue
		}
		count := len(other.settledCrashes(now))
		isMoreLikely := count > len(crashes) || count == len(crashes) && other.depth > r.depth
		if isMoreLikely && other.coversCrashes(crashes) {
			return true
		}
	}
	return false
}

// coversCrashes reports whether the part was at each of the crashes. A crash that its record may not
// hold, because there are enough others close to it or because it is too old, counts as covered.
func (r *record) coversCrashes(crashes []Crash) bool {
	return !slices.ContainsFunc(crashes, func(c Crash) bool {
		isForgotten := len(r.crashes) == maxPartCrashes && c.Ended.Before(r.crashes[0].Ended)
		isSameWorker := func(own Crash) bool { return own.Worker == c.Worker }
		return !isForgotten && r.countCrashesNear(c.Ended) < crowdedPartCrashes && !slices.ContainsFunc(r.crashes, isSameWorker)
	})
}

// newestCrash returns the time of the newest crash.
func (r *record) newestCrash() time.Time { return r.crashes[len(r.crashes)-1].Ended }

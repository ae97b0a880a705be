package guard

import (
	"time"

	"quartzshelf.dev/quarantine"
)

// PartTable returns the table with the records of parts of prompts.
func (g *Guard) PartTable() *quarantine.Table { return g.partTable }

// Marks returns the quarantined requests and parts of prompts.
func (g *Guard) Marks(now time.Time) []quarantine.Mark {
	return append(g.table.Marks(now), g.partTable.Marks(now)...)
}

// IsQuarantined reports whether a request or a part of prompts is quarantined.
func (g *Guard) IsQuarantined(f quarantine.Fingerprint, now time.Time) bool {
	return g.table.State(f, now).Quarantined || g.partTable.State(f, now).Quarantined
}

// Sweep removes expired records, and quarantines the parts of prompts against which there is enough
// evidence. It must be called periodically.
func (g *Guard) Sweep(now time.Time) {
	g.table.Sweep(now)
	g.partTable.Sweep(now)
	marked := g.partTable.Evaluate(now)
	if len(marked) == 0 {
		return
	}
	for _, part := range marked {
		state := g.partTable.State(part.Fingerprint, now)
		g.opts.Logger.Warn("prompt part quarantined", "part", part.Label, "fingerprint", part.Fingerprint.String(),
			"crashes", state.Crashes, "until", state.Until)
	}
	g.reportMarkedParts(fingerprintsOf(marked))
	g.opts.NotifyPeers()
}

func fingerprintsOf(parts []quarantine.Part) []quarantine.Fingerprint {
	all := make([]quarantine.Fingerprint, 0, len(parts))
	for _, part := range parts {
		all = append(all, part.Fingerprint)
	}
	return all
}

func (g *Guard) reportMarkedParts(all []quarantine.Fingerprint) {
	if len(all) == 0 {
		return
	}
	for range all {
		g.opts.Meter.CountQuarantineEvent("part_quarantined")
	}
	g.opts.OnPartsQuarantined(all)
}

// AnsweredWithSuccess records that a worker answered a request whole and with success, which proves that
// none of its parts crashes workers. An error is no proof, since the worker may not have begun to write
// an answer.
func (g *Guard) AnsweredWithSuccess(r Request) {
	if g.partTable.Empty() {
		return
	}
	now := time.Now()
	for _, part := range r.parts() {
		if !g.partTable.Clear(part.Fingerprint, now) {
			continue
		}
		g.opts.Meter.CountQuarantineEvent("part_cleared")
		g.opts.Logger.Warn("request with a quarantined prompt part completed", "request", r.ID, "part", part.Label, "fingerprint", part.Fingerprint.String())
		g.opts.NotifyPeers()
	}
}

// MergeParts applies a report about parts of prompts that a peer sent at the time sentAt. It returns
// true if a record changed, and so is to be reported to other peers.
func (g *Guard) MergeParts(all []quarantine.Entry, sentAt time.Time, peer string) (changed bool) {
	now := time.Now()
	merged := g.partTable.Merge(all, sentAt, now)
	for _, f := range merged.Marked {
		g.logPartReceived(f, peer, now)
	}
	g.reportMarkedParts(merged.Marked)
	for _, f := range merged.Lifted {
		g.logLifted(f, peer)
	}
	return merged.Changed
}

// restorePart adds the quarantine of a part that was read from persistent storage.
func (g *Guard) restorePart(m quarantine.Mark, source string) {
	now := time.Now()
	if !g.partTable.Restore(m, now) {
		return
	}
	g.logPartReceived(m.Fingerprint, source, now)
	g.reportMarkedParts([]quarantine.Fingerprint{m.Fingerprint})
}

func (g *Guard) logPartReceived(f quarantine.Fingerprint, source string, now time.Time) {
	state := g.partTable.State(f, now)
	g.opts.Logger.Info("quarantine of a prompt part received", "fingerprint", f.String(), "by", source, "crashes", state.Crashes, "until", state.Until)
}

package peers

import (
	"math"
	"slices"
	"time"
)

const (
	// shareRetention is how long a daemon that is not heard is assumed to use its share of a limit of
	// the fleet. It exceeds the time for which regions may lose each other.
	shareRetention = 2 * time.Hour
	// shareSettlePeriod is how long after its start a daemon may not yet hear all that are up.
	shareSettlePeriod = 10 * time.Second
	// reportedShareRatio is the ratio of a daemon's share to an equal one below which peers are told
	// of it. Slightly smaller shares are not worth the bytes.
	reportedShareRatio = 0.95
	// reportedSharePrecision is the precision with which peers are told of a share.
	reportedSharePrecision = 1e6
)

// Shares computes which share of a limit of the whole fleet this daemon may use, such that the shares
// of all daemons add up to about one and not to more. A daemon that is not heard may be down, or may
// be cut off and using its share. It therefore keeps the share that it had when it was last heard,
// until shareRetention has passed. The others divide the rest equally. Shares is not safe for
// concurrent use.
type Shares struct {
	// settledAt is the time by which all daemons that are up have been heard or counted.
	settledAt time.Time
	// unheardUntil is the time until which daemons that this process never heard count as cut off.
	unheardUntil time.Time
	// held holds the daemons that were heard within shareRetention, by ID.
	held map[string]heldShare
	// largest holds the largest numbers of daemons that were recently counted. Not all daemons of a
	// large fleet are known by ID.
	largest sizeHistory
	// own is the share computed last, lowest the lowest of it and of those that peers reported then.
	own, lowest float64
}

// heldShare is a daemon's share when it was last heard, and until when it is kept.
type heldShare struct {
	share float64
	until time.Time
}

// NewShares returns the shares of a daemon that starts now. Until Update is called, its own is zero.
func NewShares(now time.Time) *Shares {
	return &Shares{settledAt: now.Add(shareSettlePeriod), unheardUntil: now.Add(shareRetention), held: make(map[string]heldShare)}
}

// ShareView is what a daemon knows about the fleet.
type ShareView struct {
	// Heard holds the IDs of the other daemons that are heard, Known those of all that this daemon ever
	// knew. Each may include this daemon.
	Heard, Known []string
	// Size is the number of daemons, this one included, as far as they are counted.
	Size int
	// LowestReported is the lowest share that any of the daemons heard reports; zero if none does.
	LowestReported float64
}

// Update recomputes the shares. self is the ID of this daemon.
func (s *Shares) Update(self string, v ShareView, now time.Time) {
	heard := make(map[string]bool, len(v.Heard)+1)
	heard[self] = true
	for _, id := range v.Heard {
		heard[id] = true
	}
	size := max(v.Size, len(heard))
	s.largest.record(size, now)
	s.own = max(1-s.unheard(heard, v, size, now), 0) / float64(size)
	s.own = min(s.own, 1/float64(s.largest.max(now)))
	s.lowest = s.own
	if v.LowestReported > 0 {
		s.lowest = min(s.lowest, v.LowestReported)
	}
	s.hold(heard, v.Known, now)
}

// hold records the shares of the daemons heard. Shortly after the start few are heard, and the shares
// computed from that are too large.
func (s *Shares) hold(heard map[string]bool, known []string, now time.Time) {
	share := s.lowest
	if now.Before(s.settledAt) {
		share = min(share, 1/float64(max(len(known), 1)))
	}
	for id := range heard {
		s.held[id] = heldShare{share: share, until: now.Add(shareRetention)}
	}
}

// unheard returns the sum of the shares of daemons that are not heard. Daemons of a large fleet hear
// only some of the others and count the rest. If all that are known by ID are counted, none is missing.
func (s *Shares) unheard(heard map[string]bool, v ShareView, size int, now time.Time) float64 {
	shares := s.sharesOfSilent(heard, v.Known, now)
	slices.Sort(shares)
	missing := min(max(len(heard)+len(shares)-size, 0), len(shares))
	sum := 0.0
	for _, share := range shares[len(shares)-missing:] {
		sum += share
	}
	return sum
}

// sharesOfSilent returns the shares of the daemons known by ID that are not heard. It forgets those
// that have been silent for too long.
func (s *Shares) sharesOfSilent(heard map[string]bool, known []string, now time.Time) []float64 {
	var shares []float64
	for id, h := range s.held {
		switch {
		case heard[id]:
		case now.After(h.until):
			delete(s.held, id)
		default:
			shares = append(shares, h.share)
		}
	}
	if now.After(s.unheardUntil) {
		return shares
	}
	for _, id := range known {
		if _, ok := s.held[id]; !ok && !heard[id] {
			// This process never heard that daemon, which may be on the other side of a partition.
			shares = append(shares, 1/float64(len(known)))
		}
	}
	return shares
}

// Usable returns the share that this daemon may use. It is lower than the computed one if another
// daemon knows of more daemons that may be using theirs.
func (s *Shares) Usable() float64 { return s.lowest }

// Reported returns the computed share for peers, or zero if it is about as large as that of any daemon
// that hears all others. It is rounded down.
func (s *Shares) Reported(size int) float64 {
	if s.own > reportedShareRatio/float64(max(size, 1)) {
		return 0
	}
	return max(math.Floor(s.own*reportedSharePrecision), 1) / reportedSharePrecision
}

// sizeHistory holds the largest sizes of the fleet within shareRetention.
type sizeHistory struct {
	// sizes are sorted by time. Each is larger than all later ones.
	sizes []countedSize
}

// countedSize is a size of the fleet, and until when it is kept.
type countedSize struct {
	size  int
	until time.Time
}

// record adds a size. The time must not be before that of an earlier call.
func (h *sizeHistory) record(size int, now time.Time) {
	for len(h.sizes) > 0 && h.sizes[len(h.sizes)-1].size <= size {
		h.sizes = h.sizes[:len(h.sizes)-1]
	}
	h.sizes = append(h.sizes, countedSize{size: size, until: now.Add(shareRetention)})
}

// max returns the largest size that was counted within shareRetention. There must be one.
func (h *sizeHistory) max(now time.Time) int {
	for now.After(h.sizes[0].until) {
		h.sizes = h.sizes[1:]
	}
	return h.sizes[0].size
}

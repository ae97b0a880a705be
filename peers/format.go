package peers

import "time"

// The versions of the format in which daemons tell each other what they know. A change that
// a daemon of the version before would misunderstand takes a new one, and what the fleet does
// by it waits until no such daemon is in touch: docs/design/upgrades.md.
const (
	// FormatFirst is that of daemons that tell none.
	FormatFirst = 1
	// FormatAsked has what workers ask for, and daemons that hold shares of their limits.
	FormatAsked = 2

	// formatSpoken is the version that this build writes, formatOldest the oldest that it
	// understands.
	formatSpoken = FormatAsked
	formatOldest = FormatFirst
	// formatMost is the highest version that is taken for one.
	formatMost = 1 << 15
	// formatKept is how long after a daemon of an earlier version was last heard, by this one
	// or a relay, the fleet still acts by what it understands: longer than a restart takes,
	// and than a cut that callers hardly notice.
	formatKept = 10 * time.Second
)

// Format tells in which versions of the format a daemon can be spoken with.
type Format struct {
	// Spoken is the version that it writes, Oldest the oldest that it understands. Both are
	// zero for a daemon that tells none.
	Spoken int `json:"v,omitempty"`
	Oldest int `json:"o,omitempty"`
}

// OwnFormat returns the format of this build.
func OwnFormat() Format { return Format{Spoken: formatSpoken, Oldest: formatOldest} }

// isClear reports whether a format can be what it says.
func (f Format) isClear() bool {
	return f == Format{} || f.Oldest >= FormatFirst && f.Spoken >= f.Oldest && f.Spoken <= formatMost
}

// version returns the version by which a daemon acts that says this of itself, as far as this
// build knows versions. What can't be is taken for the first.
func (f Format) version() int {
	if f == (Format{}) || !f.isClear() {
		return FormatFirst
	}
	return min(f.Spoken, formatSpoken)
}

// IsUnderstood reports whether this build understands what a daemon says that tells its format.
func (f Format) IsUnderstood() bool { return !f.isClear() || f.Oldest <= formatSpoken }

// formats holds when daemons of each version were last heard. It is used under its owner's
// mutex.
type formats struct {
	heardAt [formatSpoken + 1]time.Time
}

func (f *formats) note(version int, at time.Time) {
	if version < formatSpoken && at.After(f.heardAt[version]) {
		f.heardAt[version] = at
	}
}

// oldest returns the earliest version of the daemons that were heard of late, this one
// included.
func (f *formats) oldest(now time.Time) int {
	for version := FormatFirst; version < formatSpoken; version++ {
		if at := f.heardAt[version]; !at.IsZero() && now.Sub(at) < formatKept {
			return version
		}
	}
	return formatSpoken
}

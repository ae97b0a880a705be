package peers

import "time"

// Versions of the message format between daemons. A change that daemons of the previous version
// would misinterpret gets a new version. The fleet uses the change only after formatRetention has
// passed without a sign of a daemon that has an earlier version.
const (
	// FormatFirst is the first version. Daemons that report no version are assumed to use it.
	FormatFirst = 1
	// FormatBackpressure adds workers' backpressure signals and the sharing of their request
	// limits among daemons.
	FormatBackpressure = 2

	// currentFormat is the version that this build writes, oldestUnderstood the oldest version
	// that it reads.
	currentFormat    = FormatBackpressure
	oldestUnderstood = FormatFirst
	// maxFormat is the highest version that counts as valid.
	maxFormat = 1 << 15
	// formatRetention is how long the fleet keeps to an earlier version after the last heartbeat
	// or relay's summary with that version. It exceeds a restart and a short network outage.
	formatRetention = 10 * time.Second
)

// Format is the range of format versions that a daemon supports.
type Format struct {
	// Written is the version that the daemon writes, OldestRead the oldest version that it reads.
	// Both are zero if the daemon reports none.
	Written    int `json:"v,omitempty"`
	OldestRead int `json:"o,omitempty"`
}

// OwnFormat returns the format of this build.
func OwnFormat() Format { return Format{Written: currentFormat, OldestRead: oldestUnderstood} }

// isValid reports whether a format is a possible range of versions, or empty.
func (f Format) isValid() bool {
	return f == Format{} || f.OldestRead >= FormatFirst && f.Written >= f.OldestRead && f.Written <= maxFormat
}

// effectiveVersion returns the version that a daemon with this format uses, at most the version of
// this build. An empty or invalid format counts as the first version.
func (f Format) effectiveVersion() int {
	if f == (Format{}) || !f.isValid() {
		return FormatFirst
	}
	return min(f.Written, currentFormat)
}

// IsUnderstood reports whether this build can read messages of a daemon with this format.
func (f Format) IsUnderstood() bool { return !f.isValid() || f.OldestRead <= currentFormat }

// formats records when each earlier version was last in use. The mutex of the Table guards it.
type formats struct {
	lastUsedAt [currentFormat + 1]time.Time
}

func (f *formats) record(version int, at time.Time) {
	if version < currentFormat && at.After(f.lastUsedAt[version]) {
		f.lastUsedAt[version] = at
	}
}

// oldest returns the earliest version in use within formatRetention, by this daemon or others.
func (f *formats) oldest(now time.Time) int {
	for version := FormatFirst; version < currentFormat; version++ {
		if at := f.lastUsedAt[version]; !at.IsZero() && now.Sub(at) < formatRetention {
			return version
		}
	}
	return currentFormat
}

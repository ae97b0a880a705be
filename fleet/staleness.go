package fleet

import "time"

const (
	// staleStateAge is the age of a daemon's state after which the daemon reads the source itself
	// instead of waiting for updates from peers. Each daemon adds a delay of up to ReadSpread, so
	// that one of them reads first and updates the others.
	staleStateAge = 1100 * time.Millisecond
	// ReadSpread is the maximum delay of a daemon.
	ReadSpread = 500 * time.Millisecond
	// relayDelay is added to staleStateAge for members, which get their state through a relay. It
	// covers the relay's extra heartbeats.
	relayDelay = 800 * time.Millisecond
	// ownReadTime is the time from the age at which a daemon reads the source itself until it knows
	// of all changes up to that age.
	ownReadTime = 300 * time.Millisecond
)

// MaxStaleness returns the age of its state after which a daemon with the given delay reads the source
// itself. If the leader loses access to the source, other daemons read before members do, so that
// members get changes from them. isMember is set for members. bound is the time after which the daemon
// must act on a change; zero means no limit.
func MaxStaleness(isMember bool, delay, bound time.Duration) time.Duration {
	age := staleStateAge + delay
	if isMember {
		age += relayDelay
	}
	if bound <= 0 {
		return age
	}
	return min(age, max(bound-ownReadTime, 0))
}

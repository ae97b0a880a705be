package soak

// Mix is how daemons of an earlier build and of this one run side by side.
type Mix string

// The mixes.
const (
	// Half runs the earlier build in every second daemon for good, the first one included.
	Half Mix = "half"
	// Replaced begins with the earlier build and has each daemon replaced when it starts again.
	Replaced Mix = "replaced"
	// TakenBack does the same, and takes every second start after that back.
	TakenBack Mix = "back"
)

// programOf returns the programs of a daemon's lives, of which the first is 1.
func (o Options) programOf(daemon int) func(life int) string {
	return func(life int) string {
		if o.Earlier != "" && o.Mix.isEarlier(daemon, life) {
			return o.Earlier
		}
		return o.Program
	}
}

// isEarlier reports whether a life of a daemon is of the earlier build.
func (m Mix) isEarlier(daemon, life int) bool {
	switch m {
	case Half:
		return daemon%2 == 0
	case Replaced:
		return life == 1
	case TakenBack:
		return life%2 == 1
	}
	return false
}

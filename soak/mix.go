package soak

// Mix determines which daemons run an earlier build, and in which of their incarnations.
type Mix string

// The mixes.
const (
	// MixHalf always runs the earlier build in the daemons with even numbers.
	MixHalf Mix = "half"
	// MixReplaced runs the earlier build in the first incarnation of each daemon only.
	MixReplaced Mix = "replaced"
	// MixTakenBack alternates the builds with each start, beginning with the earlier one.
	MixTakenBack Mix = "back"
)

// programsOf returns a function from the incarnations of a daemon, counted from 1, to the paths of
// their programs.
func (o Options) programsOf(daemon int) func(incarnation int) string {
	return func(life int) string {
		if o.Earlier != "" && o.Mix.usesEarlierBuild(daemon, life) {
			return o.Earlier
		}
		return o.Program
	}
}

// usesEarlierBuild reports whether an incarnation of a daemon runs the earlier build.
func (m Mix) usesEarlierBuild(daemon, incarnation int) bool {
	switch m {
	case MixHalf:
		return daemon%2 == 0
	case MixReplaced:
		return incarnation == 1
	case MixTakenBack:
		return incarnation%2 == 1
	}
	return false
}

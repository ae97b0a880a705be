package soak

// Mix determines which daemons run an earlier build, and in which of their incarnations.
type Mix string

// The available mixes of builds.
const (
	// MixHalf always runs the earlier build in the daemons with even numbers.
	MixHalf Mix = "half"
	// MixReplaced runs the earlier build in the first incarnation of each daemon only.
	MixReplaced Mix = "replaced"
	// MixTakenBack switches to the other build at each restart of a daemon. The first incarnation
	// runs the earlier build.
	MixTakenBack Mix = "back"
)

// programsOf returns a function that maps the number of a daemon's incarnation to the path of the
// program that it runs. The first incarnation has the number 1.
func (o Options) programsOf(daemon int) func(incarnation int) string {
	return func(incarnation int) string {
		if o.Earlier != "" && o.Mix.usesEarlierBuild(daemon, incarnation) {
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

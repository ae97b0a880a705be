package soak

// BuildMix determines which daemons run an earlier build, and in which of their incarnations.
type BuildMix string

// The available mixes of builds.
const (
	// MixHalf always runs the earlier build in the daemons with even numbers.
	MixHalf BuildMix = "half"
	// MixReplaced runs the earlier build in the first incarnation of each daemon only.
	MixReplaced BuildMix = "replaced"
	// MixAlternating switches to the other build at each restart of a daemon. The first incarnation
	// runs the earlier build.
	MixAlternating BuildMix = "back"
)

// programsOf returns a function that maps the number of a daemon's incarnation to the path of the
// program that it runs. The first incarnation has the number 1.
func (o Options) programsOf(daemon int) func(incarnation int) string {
	return func(incarnation int) string {
		if o.EarlierProgram != "" && o.Mix.usesEarlierBuild(daemon, incarnation) {
			return o.EarlierProgram
		}
		return o.Program
	}
}

// usesEarlierBuild reports whether an incarnation of a daemon runs the earlier build.
func (m BuildMix) usesEarlierBuild(daemon, incarnation int) bool {
	switch m {
	case MixHalf:
		return daemon%2 == 0
	case MixReplaced:
		return incarnation == 1
	case MixAlternating:
		return incarnation%2 == 1
	}
	return false
}

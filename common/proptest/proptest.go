// Package proptest runs property-based tests with a fixed seed, so that results in CI are
// repeatable. It uses random seeds in soaks, which are long test runs.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// SoakEnv is the environment variable that selects random seeds if it isn't empty.
const SoakEnv = "QUARTZSHELF_SOAK"

const fixedSeed = "20261202"

// Main sets the flags of the rapid library, runs the tests of a package, and exits. Call it
// from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if os.Getenv(SoakEnv) == "" {
		setFlag("rapid.seed", fixedSeed)
	}
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setFlag sets a registered flag, unless it was given on the command line.
func setFlag(name, value string) {
	isGiven := false
	flag.Visit(func(f *flag.Flag) { isGiven = isGiven || f.Name == name })
	if isGiven {
		return
	}
	if err := flag.Set(name, value); err != nil {
		fmt.Fprintf(os.Stderr, "proptest: flag %s: %v\n", name, err)
		os.Exit(1)
	}
}

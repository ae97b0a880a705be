// Package proptest lets property-based tests run with a fixed seed, so that CI
// reaches the same verdict every time, and with drawn seeds in a soak.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// SoakEnv is the environment variable that asks for drawn seeds.
const SoakEnv = "QUARTZSHELF_SOAK"

const fixedSeed = "20261202"

// Main runs the tests of a package. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if os.Getenv(SoakEnv) == "" {
		setFlag("rapid.seed", fixedSeed)
	}
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setFlag changes a flag that rapid has registered, unless the command line has.
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

// Command quartzshelf-platform is the daemon that takes its settings, workers and configuration
// from the platform that package platform adapts to.
package main

import (
	"fmt"
	"os"

	"quartzshelf.dev/platform"
)

func main() {
	if err := platform.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Command quartzshelf-platform is the daemon for the users' platform.
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

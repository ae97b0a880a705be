// Command quartzshelf-load: see package loadcmd.
package main

import (
	"os"

	"quartzshelf.dev/cmd/loadcmd"
)

func main() {
	os.Exit(loadcmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

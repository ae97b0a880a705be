// Command quartzshelf-measure: see package measurecmd.
package main

import (
	"os"

	"quartzshelf.dev/cmd/measurecmd"
)

func main() {
	os.Exit(measurecmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

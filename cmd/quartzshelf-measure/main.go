// Command quartzshelf-measure compares routing, admission and repair policies in simulations.
// Package measurecmd implements it.
package main

import (
	"os"

	"quartzshelf.dev/cmd/measurecmd"
)

func main() {
	os.Exit(measurecmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command quartzshelf-standin serves a simulated log and simulated nodes.
// Package standincmd implements it.
package main

import (
	"os"

	"quartzshelf.dev/cmd/standincmd"
)

func main() {
	os.Exit(standincmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

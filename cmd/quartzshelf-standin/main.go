// Command quartzshelf-standin: see package standincmd.
package main

import (
	"os"

	"quartzshelf.dev/cmd/standincmd"
)

func main() {
	os.Exit(standincmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

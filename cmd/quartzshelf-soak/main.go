// Command quartzshelf-soak: see package soakcmd.
package main

import (
	"os"

	"quartzshelf.dev/cmd/soakcmd"
)

func main() {
	os.Exit(soakcmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

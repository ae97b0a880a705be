// Command quartzshelf-load generates load and checks the answers. Package loadcmd implements it.
package main

import (
	"os"

	"quartzshelf.dev/cmd/loadcmd"
)

func main() {
	os.Exit(loadcmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

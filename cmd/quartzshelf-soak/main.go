// Command quartzshelf-soak tests real daemons under random faults. Package soakcmd implements it.
package main

import (
	"os"

	"quartzshelf.dev/cmd/soakcmd"
)

func main() {
	os.Exit(soakcmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

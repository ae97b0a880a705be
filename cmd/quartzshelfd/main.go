// Command quartzshelfd is the daemon. Package daemoncmd implements it.
package main

import (
	"os"

	"quartzshelf.dev/cmd/daemoncmd"
)

func main() {
	os.Exit(daemoncmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command quartzshelf is the operators' tool. Package operatorcmd implements it.
package main

import (
	"os"

	"quartzshelf.dev/cmd/operatorcmd"
)

func main() {
	os.Exit(operatorcmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

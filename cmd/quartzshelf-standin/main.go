// Command quartzshelf-standin serves stand-ins for the platform's services.
// Package standincmd implements it.
package main

import (
	"os"

	"quartzshelf.dev/cmd/standincmd"
)

func main() {
	os.Exit(standincmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

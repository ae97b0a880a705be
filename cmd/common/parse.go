// Package common holds what the command lines of all programs share.
package common

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Parse reads the arguments of a program into line, a pointer to a struct with
// kong's tags. On failure it tells stderr and returns false.
func Parse(name, description string, line any, args []string, stdout, stderr io.Writer) bool {
	parser, err := kong.New(line, kong.Name(name), kong.Description(description), kong.Writers(stdout, stderr))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return false
	}
	return true
}

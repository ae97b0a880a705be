// Package common holds the command-line parsing that several programs share.
package common

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Parse reads the arguments of a program into target, a pointer to a struct with kong tags. If
// the arguments are invalid, it writes the error to stderr and returns false.
func Parse(name, description string, target any, args []string, stdout, stderr io.Writer) bool {
	parser, err := kong.New(target, kong.Name(name), kong.Description(description), kong.Writers(stdout, stderr))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return false
	}
	return true
}

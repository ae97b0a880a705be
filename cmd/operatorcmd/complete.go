package operatorcmd

import (
	"os"
	"strings"

	"github.com/posener/complete"
)

// defaultDaemon is the operators' address that is used if none is configured.
const defaultDaemon = "127.0.0.1:7401"

// predictHalls returns the names of data halls for completion in the shell. It asks the daemons
// that the variable QUARTZSHELF_DAEMONS lists, and returns no names if none of them answers.
func predictHalls(complete.Args) []string {
	addresses := []string{defaultDaemon}
	if given := os.Getenv("QUARTZSHELF_DAEMONS"); given != "" {
		addresses = strings.Split(given, ",")
	}
	halls, err := newClient(addresses).listHalls()
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(halls))
	for _, h := range halls {
		names = append(names, h.Name)
	}
	return names
}

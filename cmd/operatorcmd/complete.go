package operatorcmd

import (
	"os"
	"strings"

	"github.com/posener/complete"
)

// defaultDaemon is the operators' address that is asked when none is given.
const defaultDaemon = "127.0.0.1:7401"

// predictHalls completes the names of data halls by asking the daemons of the
// environment. There is nowhere to show an error while the shell completes.
func predictHalls(complete.Args) []string {
	addresses := []string{defaultDaemon}
	if given := os.Getenv("QUARTZSHELF_DAEMONS"); given != "" {
		addresses = strings.Split(given, ",")
	}
	halls, err := newClient(addresses).halls()
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(halls))
	for _, h := range halls {
		names = append(names, h.Name)
	}
	return names
}

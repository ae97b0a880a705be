package fleet

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"quartzshelf.dev/common/failure"
)

// The limits of what an entry may hold. Values beyond them come from another writer.
const (
	// maxNameBytes limits each name. Names of groups are part of heartbeats.
	maxNameBytes = 1 << 10
	maxSlots     = 1_000_000
	maxRank      = 1_000_000
)

// Validate returns an error of type failure.Remote if no worker could have written this entry.
func (w *Worker) Validate() error {
	if err := w.Member.Validate(); err != nil {
		return failure.Wrap(failure.Remote, "check worker", w.ID, err)
	}
	names := append([]string{w.ID, w.Service, w.Zone, w.Domain, w.Loaded}, w.Staged...)
	switch {
	case w.ID == "" || w.Service == "":
		return failure.New(failure.Remote, "check worker", w.ID, "the id or the service is missing")
	case slices.ContainsFunc(names, isLongName):
		return failure.New(failure.Remote, "check worker", w.ID, "a name is longer than %d bytes", maxNameBytes)
	case !IsAddress(w.Address):
		return failure.New(failure.Remote, "check worker", w.ID, "invalid address %q", w.Address)
	case w.Slots < 0 || w.Slots > maxSlots:
		return failure.New(failure.Remote, "check worker", w.ID, "invalid number of slots %d", w.Slots)
	case w.StartedAt < 0 || w.HeartbeatCount < 0 || w.ColdRemainingMillis < 0:
		return failure.New(failure.Remote, "check worker", w.ID, "a time or a count is negative")
	}
	return nil
}

// Validate returns an error if no worker could have this place in a group.
func (m Membership) Validate() error {
	switch {
	case m == Membership{}:
		return nil
	case isLongName(m.Group):
		return fmt.Errorf("the name of the group is longer than %d bytes", maxNameBytes)
	case m.Epoch < 0 || m.Rank < 0 || m.Rank > maxRank:
		return fmt.Errorf("invalid epoch %d or rank %d", m.Epoch, m.Rank)
	}
	switch m.State {
	case Joining, Ready, Open, Closing, Broken:
		return nil
	}
	return fmt.Errorf("unknown state %q of a group", m.State)
}

// RejectInvalid turns the changes that hold an invalid worker into removals, and returns their errors. Daemons of
// earlier builds pass on workers that this one would not have accepted from the source.
func RejectInvalid(changes []Change) []error {
	var errs []error
	for i, c := range changes {
		if c.Worker == nil {
			continue
		}
		if err := c.Worker.Validate(); err != nil {
			errs = append(errs, err)
			changes[i] = Change{ID: c.ID}
		}
	}
	return errs
}

func isLongName(name string) bool { return len(name) > maxNameBytes }

// IsAddress reports whether connections can be opened to an address of the form HOST:PORT.
func IsAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || isLongName(host) || strings.ContainsFunc(host, isNoHostCharacter) {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func isNoHostCharacter(c rune) bool {
	isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
	return !isAlphanumeric && !strings.ContainsRune(".-_:%", c)
}

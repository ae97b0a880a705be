package daemon

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quartzshelf.dev/rpc"
)

const (
	// maxWriters is the largest number of daemons that append intents, the records of
	// requests with an idempotency key. Other daemons send their records to these.
	maxWriters = 3
	// intentAppendsPerSecond is how many appends of intents the whole fleet may make per
	// second.
	intentAppendsPerSecond = 60
)

// pickMember returns the member that rendezvous hashing assigns to key, or nil if there
// are no members.
func pickMember(key string, members []*rpc.Member) *rpc.Member {
	if len(members) == 0 {
		return nil
	}
	return slices.MaxFunc(members, func(a, b *rpc.Member) int {
		scoreA, scoreB := xxhash.Sum64String(key+"\x00"+a.Id), xxhash.Sum64String(key+"\x00"+b.Id)
		switch {
		case scoreA < scoreB:
			return -1
		case scoreA > scoreB:
			return 1
		default:
			return strings.Compare(a.Id, b.Id)
		}
	})
}

// accountHome returns the member that divides an account's rate limit among the daemons.
func accountHome(account string, members []*rpc.Member) *rpc.Member {
	return pickMember("account/"+account, members)
}

// intentWriters returns the members that append intents.
func intentWriters(members []*rpc.Member) []*rpc.Member {
	remaining := slices.Clone(members)
	var chosen []*rpc.Member
	for len(chosen) < maxWriters && len(remaining) > 0 {
		w := pickMember("writer", remaining)
		chosen = append(chosen, w)
		remaining = slices.DeleteFunc(remaining, func(m *rpc.Member) bool { return m == w })
	}
	return chosen
}

// intentWriter returns the member that appends the records of a key.
func intentWriter(key string, members []*rpc.Member) *rpc.Member {
	return pickMember("key/"+key, intentWriters(members))
}

// minFlushInterval returns the shortest allowed time between two appends of intents by one
// writer. The argument members is the number of daemons in the fleet.
func minFlushInterval(members int) time.Duration {
	return time.Second * time.Duration(min(max(members, 1), maxWriters)) / intentAppendsPerSecond
}

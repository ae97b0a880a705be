package peers

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/fleet"
)

// Load is work in flight at a replica.
type Load struct {
	Replica  string `json:"r"`
	InFlight int    `json:"n"`
	// Prefill is the number of prompt tokens of requests not yet begun.
	Prefill int `json:"p,omitempty"`
	// Moved is how long ago the replica's newest event came, in milliseconds; zero if
	// that is not known.
	Moved int64 `json:"m,omitempty"`
}

const (
	// movedUnit is the unit in which messages tell Moved, in milliseconds.
	movedUnit = 10
	// movedMost is the longest time that is told, in milliseconds: what has been silent
	// for longer is suspected.
	movedMost = 1500
)

// MovedAgo returns what Load.Moved tells of the newest event of a replica.
func MovedAgo(moved, now time.Time) int64 {
	return toldMove(now.Sub(moved).Milliseconds() + 1)
}

// toldMove returns a time as Load.Moved tells it: rounded up, so that silence is never
// hidden, and zero if it is too long ago.
func toldMove(ms int64) int64 {
	if ms <= 0 || ms > movedMost {
		return 0
	}
	return (ms + movedUnit - 1) / movedUnit * movedUnit
}

// newerMove returns the newer of two times that Load.Moved tells.
func newerMove(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// aged returns loads that were reported a time ago.
func (l Loads) aged(age time.Duration) Loads {
	older := slices.Clone(l)
	for i := range older {
		if older[i].Moved > 0 {
			older[i].Moved = toldMove(older[i].Moved + age.Milliseconds())
		}
	}
	return older
}

// Loads is work at several replicas. In messages it is packed: the names of
// groups are most of it otherwise.
type Loads []Load

// packedLoads is the form of Loads in messages.
type packedLoads struct {
	// Groups holds three numbers for each group of a model, by rising epoch: how
	// much higher the epoch is than the one before, requests in flight, prompt tokens.
	Groups map[string][]int64 `json:"g,omitempty"`
	// Moved holds Load.Moved of each group in the same order, in units of movedUnit.
	// It is a list of its own since daemons of earlier versions read Groups by threes.
	Moved map[string][]int64 `json:"m,omitempty"`
	// Others holds the replicas that are not groups.
	Others []Load `json:"o,omitempty"`
}

// perGroup is how many numbers packedLoads holds for a group.
const perGroup = 3

// groupLoad is the work at a group.
type groupLoad struct {
	Load
	model string
	epoch int64
}

// MarshalJSON implements json.Marshaler.
func (l Loads) MarshalJSON() ([]byte, error) {
	var packed packedLoads
	var groups []groupLoad
	for _, load := range l {
		if model, epoch, ok := fleet.SplitKey(load.Replica); ok {
			groups = append(groups, groupLoad{Load: load, model: model, epoch: epoch})
		} else {
			packed.Others = append(packed.Others, load)
		}
	}
	slices.SortFunc(groups, func(a, b groupLoad) int { return cmp.Compare(a.epoch, b.epoch) })
	last := make(map[string]int64)
	for _, g := range groups {
		if packed.Groups == nil {
			packed.Groups, packed.Moved = make(map[string][]int64), make(map[string][]int64)
		}
		packed.Groups[g.model] = append(packed.Groups[g.model], g.epoch-last[g.model], int64(g.InFlight), int64(g.Prefill))
		packed.Moved[g.model] = append(packed.Moved[g.model], g.Moved/movedUnit)
		last[g.model] = g.epoch
	}
	return json.Marshal(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Loads) UnmarshalJSON(data []byte) error {
	var packed packedLoads
	if err := json.Unmarshal(data, &packed); err != nil {
		return failure.At(failure.Remote, "decode loads", "", err)
	}
	all := packed.Others
	for model, numbers := range packed.Groups {
		epoch, moved := int64(0), packed.Moved[model]
		for i := 0; len(numbers) >= perGroup; i++ {
			epoch += numbers[0]
			load := Load{Replica: fleet.KeyOf(model, epoch), InFlight: int(numbers[1]), Prefill: int(numbers[2])}
			if i < len(moved) {
				load.Moved = toldMove(moved[i] * movedUnit)
			}
			all = append(all, load)
			numbers = numbers[perGroup:]
		}
	}
	*l = all
	return nil
}

// sumLoads returns the work at each replica over several daemons, sorted by replica.
func sumLoads(all ...Loads) Loads {
	byReplica := make(map[string]Load)
	for _, loads := range all {
		for _, l := range loads {
			held := byReplica[l.Replica]
			byReplica[l.Replica] = Load{
				Replica: l.Replica, InFlight: held.InFlight + l.InFlight, Prefill: held.Prefill + l.Prefill,
				Moved: newerMove(held.Moved, l.Moved),
			}
		}
	}
	sum := make(Loads, 0, len(byReplica))
	for _, l := range byReplica {
		sum = append(sum, l)
	}
	slices.SortFunc(sum, func(a, b Load) int { return cmp.Compare(a.Replica, b.Replica) })
	return sum
}

// Without returns the loads less those of one daemon that they include.
func (l Loads) Without(own Loads) Loads {
	byReplica := make(map[string]Load, len(own))
	for _, o := range own {
		byReplica[o.Replica] = o
	}
	rest := make(Loads, 0, len(l))
	for _, load := range l {
		o := byReplica[load.Replica]
		load.InFlight = max(load.InFlight-o.InFlight, 0)
		load.Prefill = max(load.Prefill-o.Prefill, 0)
		if load.InFlight > 0 {
			rest = append(rest, load)
		}
	}
	return rest
}

package peers

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/fleet"
)

// Load is the work in flight at a replica.
type Load struct {
	Replica  string `json:"r"`
	InFlight int    `json:"n"`
	// Prefill is the number of prompt tokens of requests that have not started.
	Prefill int `json:"p,omitempty"`
	// Moved is the time since the replica's latest event, in milliseconds; zero if unknown.
	Moved int64 `json:"m,omitempty"`
}

const (
	// eventAgeUnit is the resolution of Load.Moved in messages, in milliseconds.
	eventAgeUnit = 10
	// maxEventAge is the longest time that Load.Moved reports, in milliseconds. Replicas that are
	// silent for longer are suspected anyway.
	maxEventAge = 1500
)

// MovedAgo returns the value of Load.Moved for an event at the time moved.
func MovedAgo(moved, now time.Time) int64 {
	return roundEventAge(now.Sub(moved).Milliseconds() + 1)
}

// roundEventAge rounds a value of Load.Moved up to eventAgeUnit, so that silence is never
// underestimated. It returns zero if the value is out of range.
func roundEventAge(ms int64) int64 {
	if ms <= 0 || ms > maxEventAge {
		return 0
	}
	return (ms + eventAgeUnit - 1) / eventAgeUnit * eventAgeUnit
}

// newerEventAge returns the smaller of two values of Load.Moved, ignoring unknown ones.
func newerEventAge(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// aged returns the loads with event ages increased by age.
func (l Loads) aged(age time.Duration) Loads {
	older := slices.Clone(l)
	for i := range older {
		if older[i].Moved > 0 {
			older[i].Moved = roundEventAge(older[i].Moved + age.Milliseconds())
		}
	}
	return older
}

// Loads is the work at several replicas. It is encoded compactly, since the names of groups would
// take up most of it otherwise.
type Loads []Load

// packedLoads is the encoded form of Loads.
type packedLoads struct {
	// Groups holds three numbers for each group of a model, by ascending epoch: the difference to
	// the previous epoch, requests in flight, prompt tokens.
	Groups map[string][]int64 `json:"g,omitempty"`
	// EventAges holds Load.Moved of each group in the same order, in eventAgeUnit. It is a
	// separate list because earlier versions read Groups in threes.
	EventAges map[string][]int64 `json:"m,omitempty"`
	// Others holds the replicas that are not groups.
	Others []Load `json:"o,omitempty"`
}

// valuesPerGroup is the number of values in packedLoads.Groups for each group.
const valuesPerGroup = 3

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
			packed.Groups, packed.EventAges = make(map[string][]int64), make(map[string][]int64)
		}
		packed.Groups[g.model] = append(packed.Groups[g.model], g.epoch-last[g.model], int64(g.InFlight), int64(g.Prefill))
		packed.EventAges[g.model] = append(packed.EventAges[g.model], g.Moved/eventAgeUnit)
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
		epoch, moved := int64(0), packed.EventAges[model]
		for i := 0; len(numbers) >= valuesPerGroup; i++ {
			epoch += numbers[0]
			load := Load{Replica: fleet.KeyOf(model, epoch), InFlight: int(numbers[1]), Prefill: int(numbers[2])}
			if i < len(moved) {
				load.Moved = roundEventAge(moved[i] * eventAgeUnit)
			}
			all = append(all, load)
			numbers = numbers[valuesPerGroup:]
		}
	}
	*l = all
	return nil
}

// sumLoads adds up the work at each replica over several daemons, sorted by replica.
func sumLoads(all ...Loads) Loads {
	byReplica := make(map[string]Load)
	for _, loads := range all {
		for _, l := range loads {
			total := byReplica[l.Replica]
			byReplica[l.Replica] = Load{
				Replica: l.Replica, InFlight: total.InFlight + l.InFlight, Prefill: total.Prefill + l.Prefill,
				Moved: newerEventAge(total.Moved, l.Moved),
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

// Without returns the loads minus the share of one daemon that they include. Replicas with no
// requests left are omitted.
func (l Loads) Without(own Loads) Loads {
	byReplica := make(map[string]Load, len(own))
	for _, o := range own {
		byReplica[o.Replica] = o
	}
	remaining := make(Loads, 0, len(l))
	for _, load := range l {
		o := byReplica[load.Replica]
		load.InFlight = max(load.InFlight-o.InFlight, 0)
		load.Prefill = max(load.Prefill-o.Prefill, 0)
		if load.InFlight > 0 {
			remaining = append(remaining, load)
		}
	}
	return remaining
}

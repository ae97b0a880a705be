package peers

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/fleet"
)

// Load holds the numbers of requests in flight at a replica and of their unprocessed prompt tokens.
type Load struct {
	Replica  string `json:"r"`
	InFlight int    `json:"n"`
	// PendingPromptTokens is the number of prompt tokens in requests whose answers have not
	// started.
	PendingPromptTokens int `json:"p,omitempty"`
	// EventAgeMillis is the time since the latest event was received from the replica, in
	// milliseconds. It is zero if unknown.
	EventAgeMillis int64 `json:"m,omitempty"`
}

const (
	// eventAgeUnitMillis is the resolution of Load.EventAgeMillis in messages, in milliseconds.
	eventAgeUnitMillis = 10
	// maxEventAgeMillis is the longest time that Load.EventAgeMillis reports, in milliseconds.
	// Replicas that are silent for longer are suspected anyway.
	maxEventAgeMillis = 1500
)

// EventAgeMillis returns the value of Load.EventAgeMillis for a replica whose latest event was
// received at eventAt.
func EventAgeMillis(eventAt, now time.Time) int64 {
	return roundEventAge(now.Sub(eventAt).Milliseconds() + 1)
}

// roundEventAge rounds a value of Load.EventAgeMillis up to a multiple of eventAgeUnitMillis,
// because rounding down would make a replica look less silent than it is. The result is zero if the
// value is out of range.
func roundEventAge(ms int64) int64 {
	if ms <= 0 || ms > maxEventAgeMillis {
		return 0
	}
	return (ms + eventAgeUnitMillis - 1) / eventAgeUnitMillis * eventAgeUnitMillis
}

// minKnownEventAge returns the smaller of two values of Load.EventAgeMillis, ignoring unknown ones.
func minKnownEventAge(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// withAgesIncreased returns the loads with known event ages increased by age and rounded up. Ages
// above maxEventAgeMillis become unknown.
func (l Loads) withAgesIncreased(age time.Duration) Loads {
	older := slices.Clone(l)
	for i := range older {
		if older[i].EventAgeMillis > 0 {
			older[i].EventAgeMillis = roundEventAge(older[i].EventAgeMillis + age.Milliseconds())
		}
	}
	return older
}

// Loads holds the loads of several replicas. Its encoding leaves out the names of groups, which
// would take up most of the space.
type Loads []Load

// packedLoads is the encoded form of Loads.
type packedLoads struct {
	// Groups holds three numbers for each group of a model, by ascending epoch. They are the
	// difference to the previous epoch, Load.InFlight and Load.PendingPromptTokens.
	Groups map[string][]int64 `json:"g,omitempty"`
	// EventAges holds Load.EventAgeMillis of each group in the same order, in units of
	// eventAgeUnitMillis. It is a separate list because earlier versions expect three numbers per
	// group in Groups.
	EventAges map[string][]int64 `json:"m,omitempty"`
	// Others holds the replicas that are not groups.
	Others []Load `json:"o,omitempty"`
}

// valuesPerGroup is the number of values in packedLoads.Groups for each group.
const valuesPerGroup = 3

// groupLoad is the load of a group, with the parts of the group's name.
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
	lastEpochs := make(map[string]int64)
	for _, g := range groups {
		if packed.Groups == nil {
			packed.Groups, packed.EventAges = make(map[string][]int64), make(map[string][]int64)
		}
		packed.Groups[g.model] = append(packed.Groups[g.model], g.epoch-lastEpochs[g.model], int64(g.InFlight), int64(g.PendingPromptTokens))
		packed.EventAges[g.model] = append(packed.EventAges[g.model], g.EventAgeMillis/eventAgeUnitMillis)
		lastEpochs[g.model] = g.epoch
	}
	return json.Marshal(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Loads) UnmarshalJSON(data []byte) error {
	var packed packedLoads
	if err := json.Unmarshal(data, &packed); err != nil {
		return failure.Wrap(failure.Remote, "decode loads", "", err)
	}
	all := packed.Others
	for model, values := range packed.Groups {
		epoch, eventAges := int64(0), packed.EventAges[model]
		for i := 0; len(values) >= valuesPerGroup; i++ {
			epoch += values[0]
			load := Load{Replica: fleet.KeyOf(model, epoch), InFlight: int(values[1]), PendingPromptTokens: int(values[2])}
			if i < len(eventAges) {
				load.EventAgeMillis = roundEventAge(eventAges[i] * eventAgeUnitMillis)
			}
			all = append(all, load)
			values = values[valuesPerGroup:]
		}
	}
	*l = all
	return nil
}

// sumLoads adds up several daemons' loads of each replica. The result is sorted by replica.
func sumLoads(all ...Loads) Loads {
	byReplica := make(map[string]Load)
	for _, loads := range all {
		for _, l := range loads {
			total := byReplica[l.Replica]
			byReplica[l.Replica] = Load{
				Replica: l.Replica, InFlight: total.InFlight + l.InFlight, PendingPromptTokens: total.PendingPromptTokens + l.PendingPromptTokens,
				EventAgeMillis: minKnownEventAge(total.EventAgeMillis, l.EventAgeMillis),
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

// Without subtracts one daemon's own loads from a sum that includes them. Replicas without
// remaining requests are omitted.
func (l Loads) Without(own Loads) Loads {
	byReplica := make(map[string]Load, len(own))
	for _, o := range own {
		byReplica[o.Replica] = o
	}
	remaining := make(Loads, 0, len(l))
	for _, load := range l {
		o := byReplica[load.Replica]
		load.InFlight = max(load.InFlight-o.InFlight, 0)
		load.PendingPromptTokens = max(load.PendingPromptTokens-o.PendingPromptTokens, 0)
		if load.InFlight > 0 {
			remaining = append(remaining, load)
		}
	}
	return remaining
}

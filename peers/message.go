package peers

import (
	"hash/fnv"
	"time"

	"quartzshelf.dev/fleet"
)

// News holds changes of workers or decisions of the leader. It is sent as soon as it is known,
// between the regular rounds.
type News struct {
	Workers   *fleet.Delta     `json:"w,omitempty"`
	Decisions *fleet.Decisions `json:"d,omitempty"`
}

// Status is a relay's report on a daemon whose heartbeats it receives.
type Status struct {
	ID string `json:"i"`
	// ShortIncarnation holds the low bits of the incarnation, which suffice to detect a restart.
	ShortIncarnation uint16 `json:"l"`
	Ready            bool   `json:"r,omitempty"`
	Leaving          bool   `json:"x,omitempty"`
	// Age is the time since the relay received the daemon's latest heartbeat, in milliseconds.
	Age int64 `json:"a"`
}

// shortIncarnation returns the form of an incarnation that Status holds.
func shortIncarnation(incarnation int64) uint16 { return uint16(incarnation) }

// Summary adds up the loads and the demand that several daemons reported.
type Summary struct {
	// Daemons is the number of daemons, including those that are leaving.
	Daemons      int                `json:"n"`
	Traffic      bool               `json:"traffic,omitempty"`
	Demand       map[string]float64 `json:"demand,omitempty"`
	PromptTokens map[string]float64 `json:"prompts,omitempty"`
	Loads        Loads              `json:"loads,omitempty"`
	// Age is the average age of the loads, in milliseconds.
	Age int64 `json:"a,omitempty"`
	// Part is the index of this part of a summary. Loads that do not fit into the first datagram
	// are sent in further parts, which hold only loads and their age.
	Part int `json:"part,omitempty"`
	// Format is the earliest of the format versions that the daemons write; zero if the relay
	// reports none. Only the first part of a summary holds it.
	Format int `json:"f,omitempty"`
}

// oldestFormat returns the earliest format version among the daemons.
func (s *Summary) oldestFormat() int {
	if s.Format < FormatFirst || s.Format > maxFormat {
		return FormatFirst
	}
	return min(s.Format, currentFormat)
}

// message is the content of a datagram. Absent parts are nil.
type message struct {
	ID          string     `json:"id"`
	Incarnation int64      `json:"inc"`
	Heartbeat   *Heartbeat `json:"hb,omitempty"`
	News        *News      `json:"news,omitempty"`
	// Statuses holds a relay's reports on the daemons whose heartbeats it receives. Identities holds
	// those of some daemons, so that the receiver learns of them.
	Statuses   []Status   `json:"st,omitempty"`
	Identities []Identity `json:"known,omitempty"`
	// Hall summarizes the relay's data hall, Fleet all data halls.
	Hall  *Summary `json:"hall,omitempty"`
	Fleet *Summary `json:"fleet,omitempty"`
}

// add adds the summary of further daemons, which was received the given time ago.
func (s *Summary) add(other Summary, age time.Duration) {
	total := s.Daemons + other.Daemons
	if total > 0 {
		sum := s.Age*int64(s.Daemons) + (other.Age+age.Milliseconds())*int64(other.Daemons)
		s.Age = sum / int64(total)
	}
	if s.Daemons == 0 {
		s.Format = other.Format
	} else if other.Daemons > 0 {
		s.Format = min(s.oldestFormat(), other.oldestFormat())
	}
	s.Daemons = total
	s.Traffic = s.Traffic || other.Traffic
	s.Demand = sumDemand(s.Demand, other.Demand)
	s.PromptTokens = sumDemand(s.PromptTokens, other.PromptTokens)
	s.Loads = sumLoads(s.Loads, other.Loads.withAgesIncreased(age))
}

// sumDemand adds up demand by model.
func sumDemand(all ...map[string]float64) map[string]float64 {
	sum := make(map[string]float64)
	for _, demand := range all {
		for model, d := range demand {
			sum[model] += d
		}
	}
	return sum
}

// loadsPerPart is the average number of loads in each part of a summary. An encoded load takes
// about seven bytes.
const loadsPerPart = 150

// split splits a summary into parts that fit into one datagram each. The index of the part that
// holds a replica depends only on the replica's name and the number of parts.
func (s Summary) split() []Summary {
	count := max((len(s.Loads)+loadsPerPart-1)/loadsPerPart, 1)
	all := make([]Summary, count)
	all[0] = Summary{Daemons: s.Daemons, Traffic: s.Traffic, Demand: s.Demand, PromptTokens: s.PromptTokens, Format: s.Format}
	for _, l := range s.Loads {
		h := fnv.New32a()
		// Writing to a hash never fails.
		_, _ = h.Write([]byte(l.Replica))
		i := int(h.Sum32() % uint32(count))
		all[i].Loads = append(all[i].Loads, l)
	}
	for i := range all {
		all[i].Part, all[i].Age = i, s.Age
	}
	return all
}

// summaryOf returns the summary of a single daemon.
func summaryOf(h *Heartbeat) Summary {
	return Summary{Daemons: 1, Traffic: h.Traffic, Demand: h.Demand, PromptTokens: h.PromptTokens, Loads: h.Loads, Format: h.Format.effectiveVersion()}
}

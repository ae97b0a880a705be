package peers

import (
	"hash/fnv"
	"time"

	"quartzshelf.dev/fleet"
)

// News is what has just become known and is passed on at once.
type News struct {
	Workers   *fleet.Delta     `json:"w,omitempty"`
	Decisions *fleet.Decisions `json:"d,omitempty"`
}

// Status is what a relay reports of a daemon that it hears.
type Status struct {
	ID string `json:"i"`
	// Life tells lives of the daemon apart: the low bits of its incarnation.
	Life    uint16 `json:"l"`
	Ready   bool   `json:"r,omitempty"`
	Leaving bool   `json:"x,omitempty"`
	// Age is how long ago the relay heard it, in milliseconds.
	Age int64 `json:"a"`
}

// lifeOf returns the life of an incarnation as statuses tell it.
func lifeOf(incarnation int64) uint16 { return uint16(incarnation) }

// Summary is the work of several daemons together.
type Summary struct {
	// Daemons is how many there are, those that leave included.
	Daemons int                `json:"n"`
	Traffic bool               `json:"traffic,omitempty"`
	Demand  map[string]float64 `json:"demand,omitempty"`
	Prompts map[string]float64 `json:"prompts,omitempty"`
	Loads   Loads              `json:"loads,omitempty"`
	// Age is how old the loads are on average, in milliseconds.
	Age int64 `json:"a,omitempty"`
	// Part tells the parts of one summary apart: loads that do not fit one
	// datagram go into further parts, which tell nothing else.
	Part int `json:"part,omitempty"`
	// Format is the earliest version of the format that one of the daemons speaks; zero where
	// the relay tells none. The first part alone tells it.
	Format int `json:"f,omitempty"`
}

// version returns the earliest version of the format among the daemons.
func (s *Summary) version() int {
	if s.Format < FormatFirst || s.Format > formatMost {
		return FormatFirst
	}
	return min(s.Format, formatSpoken)
}

// message is the content of a datagram. Parts that are nil were left out.
type message struct {
	ID          string     `json:"id"`
	Incarnation int64      `json:"inc"`
	Heartbeat   *Heartbeat `json:"hb,omitempty"`
	News        *News      `json:"news,omitempty"`
	// Statuses and Known are a relay's reports to its data hall: whom it hears,
	// and the identities of some of them.
	Statuses []Status   `json:"st,omitempty"`
	Known    []Identity `json:"known,omitempty"`
	// Hall sums up the relay's data hall, Fleet all of them.
	Hall  *Summary `json:"hall,omitempty"`
	Fleet *Summary `json:"fleet,omitempty"`
}

// add adds the work of further daemons, which is as old as told.
func (s *Summary) add(other Summary, age time.Duration) {
	total := s.Daemons + other.Daemons
	if total > 0 {
		sum := s.Age*int64(s.Daemons) + (other.Age+age.Milliseconds())*int64(other.Daemons)
		s.Age = sum / int64(total)
	}
	if s.Daemons == 0 {
		s.Format = other.Format
	} else if other.Daemons > 0 {
		s.Format = min(s.version(), other.version())
	}
	s.Daemons = total
	s.Traffic = s.Traffic || other.Traffic
	s.Demand = sumDemand(s.Demand, other.Demand)
	s.Prompts = sumDemand(s.Prompts, other.Prompts)
	s.Loads = sumLoads(s.Loads, other.Loads.aged(age))
}

// sumDemand adds up work by model.
func sumDemand(all ...map[string]float64) map[string]float64 {
	sum := make(map[string]float64)
	for _, demand := range all {
		for model, d := range demand {
			sum[model] += d
		}
	}
	return sum
}

// loadsPerPart is how many loads fit a datagram beside the rest: packed and
// deflated, one takes about seven bytes.
const loadsPerPart = 150

// parts splits a summary into what fits a datagram each. A replica is always in
// the same part while their number stays.
func (s Summary) parts() []Summary {
	count := max((len(s.Loads)+loadsPerPart-1)/loadsPerPart, 1)
	all := make([]Summary, count)
	all[0] = Summary{Daemons: s.Daemons, Traffic: s.Traffic, Demand: s.Demand, Prompts: s.Prompts, Format: s.Format}
	for _, l := range s.Loads {
		h := fnv.New32a()
		// Writing to a hash does not fail.
		_, _ = h.Write([]byte(l.Replica))
		i := int(h.Sum32() % uint32(count))
		all[i].Loads = append(all[i].Loads, l)
	}
	for i := range all {
		all[i].Part, all[i].Age = i, s.Age
	}
	return all
}

// summaryOf returns the work of one daemon.
func summaryOf(h *Heartbeat) Summary {
	return Summary{Daemons: 1, Traffic: h.Traffic, Demand: h.Demand, Prompts: h.Prompts, Loads: h.Loads, Format: h.Format.version()}
}

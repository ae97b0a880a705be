// Package eligibility decides which replicas may take a request now, and tells what
// keeps the others out. It holds no state and does no I/O: what it goes by is given to it
// as functions.
package eligibility

import (
	"strconv"
	"strings"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// Cause is why a replica may not take a request, or only as a last resort.
type Cause int

// The causes, in the order in which they are looked at.
const (
	None Cause = iota
	// Tried replicas failed this request before.
	Tried
	// RegionNotAllowed: the request must not run where the replica is.
	RegionNotAllowed
	// HallNotOpen: the replica's data hall is closed or closing.
	HallNotOpen
	// WarmingUp: the replica is warming up and bears no more now.
	WarmingUp
	// Limited: the replica's head names a limit, and this daemon has no part of it left now.
	Limited
	// Resting: the replica's head wants nothing from this daemon for a while.
	Resting
	// Suspected replicas may have stopped.
	Suspected
	// Leaving replicas end soon.
	Leaving
	numCauses
)

// reasons holds the causes' names in answers, logs and counters.
var reasons = [numCauses]reason.Reason{
	Tried: reason.Tried, RegionNotAllowed: reason.RegionNotAllowed, HallNotOpen: reason.HallClosed,
	WarmingUp: reason.WarmUp, Limited: reason.Limited, Resting: reason.Resting, Suspected: reason.Suspected, Leaving: reason.Leaving,
}

// Reason returns the cause's name in answers, logs and counters; empty for None.
func (c Cause) Reason() reason.Reason { return reasons[c] }

// Class says how readily a replica takes a request.
type Class int

// The classes, from the best to the worst. A worse one is used only if no replica of a
// better one can take the request.
const (
	// Eligible replicas take the request.
	Eligible Class = iota
	// Reserve replicas are in a hall that is closing: they serve while others are full.
	Reserve
	// LastResort replicas are suspected to have stopped.
	LastResort
	// Excluded replicas must not get the request.
	Excluded
)

// numClasses is how many classes may take a request.
const numClasses = int(Excluded)

// Rules is what replicas are judged by at one moment. A function that is nil keeps
// nothing out.
type Rules struct {
	// HallState returns the state of a data hall.
	HallState func(hall string) fleet.HallState
	// RegionOf returns the region of a data hall.
	RegionOf func(hall string) string
	// HasWarmUpRoom reports whether a replica bears one more request from this daemon.
	HasWarmUpRoom func(r *fleet.Replica) bool
	// HasLimitRoom reports whether the limit that a replica's head names bears one more request from
	// this daemon.
	HasLimitRoom func(r *fleet.Replica) bool
	// IsRested reports whether a replica's head wants requests from this daemon.
	IsRested func(r *fleet.Replica) bool
	// IsSuspected reports whether a replica may have stopped.
	IsSuspected func(r *fleet.Replica) bool
}

// Request is what matters of a request.
type Request struct {
	// RouteRegions and Account are the regions allowed by the route and by the client account;
	// both bind.
	RouteRegions, AccountRegions fleet.Regions
	// Tried holds the replicas that failed the request before, by id.
	Tried map[string]bool
}

// hasRegionLimit reports whether the request must not run everywhere.
func (q *Request) hasRegionLimit() bool { return len(q.RouteRegions) > 0 || len(q.AccountRegions) > 0 }

// Classify returns how readily a replica takes a request, and why not more so.
func (r *Rules) Classify(q *Request, replica *fleet.Replica) (Class, Cause) {
	if q.Tried[replica.ID] {
		return Excluded, Tried
	}
	if r.RegionOf != nil && q.hasRegionLimit() {
		region := r.RegionOf(replica.Head.Zone)
		if !q.RouteRegions.Allows(region) || !q.AccountRegions.Allows(region) {
			return Excluded, RegionNotAllowed
		}
	}
	class, cause := Eligible, None
	if r.HallState != nil {
		switch r.HallState(replica.Head.Zone) {
		case fleet.HallClosed:
			return Excluded, HallNotOpen
		case fleet.HallClosing:
			class, cause = Reserve, HallNotOpen
		}
	}
	if r.hasLoadRules() {
		if bound := r.loadCause(replica); bound != None {
			return Excluded, bound
		}
	}
	if r.IsSuspected != nil && r.IsSuspected(replica) {
		return LastResort, Suspected
	}
	return class, cause
}

// hasLoadRules reports whether anything bounds what replicas bear. Mostly nothing does.
func (r *Rules) hasLoadRules() bool {
	return r.HasWarmUpRoom != nil || r.IsRested != nil || r.HasLimitRoom != nil
}

// loadCause returns what keeps a replica from bearing one more request from this daemon.
func (r *Rules) loadCause(replica *fleet.Replica) Cause {
	switch {
	case r.HasWarmUpRoom != nil && !r.HasWarmUpRoom(replica):
		return WarmingUp
	case r.IsRested != nil && !r.IsRested(replica):
		return Resting
	case r.HasLimitRoom != nil && !r.HasLimitRoom(replica):
		return Limited
	}
	return None
}

// Selection is replicas by class.
type Selection struct {
	byClass [numClasses][]*fleet.Replica
	counts  Counts
}

// Select judges all replicas. Where all are eligible nothing is copied, and the result
// holds the slice given.
func (r *Rules) Select(q *Request, replicas []*fleet.Replica) Selection {
	var s Selection
	copied := false
	for i, replica := range replicas {
		class, cause := r.Classify(q, replica)
		if class == Eligible && !copied {
			continue
		}
		if !copied {
			copied = true
			s.byClass[Eligible] = append(make([]*fleet.Replica, 0, len(replicas)), replicas[:i]...)
		}
		if cause != None {
			s.counts[cause]++
		}
		if class != Excluded {
			s.byClass[class] = append(s.byClass[class], replica)
		}
	}
	if !copied {
		s.byClass[Eligible] = replicas
	}
	return s
}

// InClass returns the replicas of a class.
func (s *Selection) InClass(c Class) []*fleet.Replica { return s.byClass[c] }

// IsEmpty reports whether no replica may take the request.
func (s *Selection) IsEmpty() bool {
	for _, all := range s.byClass {
		if len(all) > 0 {
			return false
		}
	}
	return true
}

// Counts returns how many replicas were left out or put back, by cause.
func (s *Selection) Counts() Counts { return s.counts }

// Counts counts replicas by cause.
type Counts [numCauses]int

// HasAny reports whether anything was counted but replicas without a cause.
func (c Counts) HasAny() bool {
	for cause := Tried; cause < numCauses; cause++ {
		if c[cause] > 0 {
			return true
		}
	}
	return false
}

// MostFrequent returns the cause that kept the most replicas out, and None if there is none.
func (c Counts) MostFrequent() Cause {
	most := None
	for cause := Tried; cause < numCauses; cause++ {
		if c[cause] > 0 && (most == None || c[cause] > c[most]) {
			most = cause
		}
	}
	return most
}

// ForEach calls f with each cause that kept replicas out, and how many.
func (c Counts) ForEach(f func(cause Cause, count int)) {
	for cause := Tried; cause < numCauses; cause++ {
		if c[cause] > 0 {
			f(cause, c[cause])
		}
	}
}

// String returns the counts as they stand in log lines: "hall_closed=3 warm_up=1".
func (c Counts) String() string {
	var all []string
	c.ForEach(func(cause Cause, count int) {
		all = append(all, string(cause.Reason())+"="+strconv.Itoa(count))
	})
	return strings.Join(all, " ")
}

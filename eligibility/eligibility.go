// Package eligibility decides which replicas may take a request now and why others may not. It
// holds no state and does no I/O; everything it depends on is passed in as functions.
package eligibility

import (
	"strconv"
	"strings"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// Cause is why a replica may not take a request, or may take it only as a second choice.
type Cause int

// The causes, in the order in which they are checked. Leaving is never returned by Classify.
const (
	None Cause = iota
	// Tried: an earlier attempt of this request failed at the replica.
	Tried
	// RegionNotAllowed: the request must not run in the replica's region.
	RegionNotAllowed
	// HallNotOpen: the replica's data hall is closed or closing.
	HallNotOpen
	// WarmingUp: the replica is warming up and can take no more requests now.
	WarmingUp
	// Limited: the replica's head has set a limit, and this daemon's share of it is used up.
	Limited
	// Resting: the replica's head has asked this daemon to send nothing for a while.
	Resting
	// Suspected: the replica may have stopped.
	Suspected
	// Leaving: the replica is about to stop.
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

// Class ranks replicas by how suitable they are for a request.
type Class int

// The classes, from best to worst. A class is used only if no replica of a better one can take
// the request.
const (
	// Eligible replicas can take the request.
	Eligible Class = iota
	// Reserve replicas are in a closing data hall and are used while all others are full.
	Reserve
	// LastResort replicas are suspected to have stopped.
	LastResort
	// Excluded replicas must not get the request.
	Excluded
)

// numClasses is the number of classes whose replicas may take a request.
const numClasses = int(Excluded)

// Rules holds the checks for replicas at one moment. A nil function excludes nothing.
type Rules struct {
	// HallState returns the state of a data hall.
	HallState func(hall string) fleet.HallState
	// RegionOf returns the region of a data hall.
	RegionOf func(hall string) string
	// HasWarmUpRoom reports whether a replica's warm-up allows one more request from this daemon.
	HasWarmUpRoom func(r *fleet.Replica) bool
	// HasLimitRoom reports whether the limit set by a replica's head allows one more request from
	// this daemon.
	HasLimitRoom func(r *fleet.Replica) bool
	// AcceptsRequests reports whether a replica's head accepts requests from this daemon.
	AcceptsRequests func(r *fleet.Replica) bool
	// IsSuspected reports whether a replica may have stopped.
	IsSuspected func(r *fleet.Replica) bool
}

// Request holds the properties of a request that the rules need.
type Request struct {
	// RouteRegions and AccountRegions are the regions allowed by the route and by the client
	// account. A replica must satisfy both.
	RouteRegions, AccountRegions fleet.Regions
	// Tried holds the IDs of replicas at which an attempt of this request failed.
	Tried map[string]bool
}

// hasRegionLimit reports whether the request is restricted to some regions.
func (q *Request) hasRegionLimit() bool { return len(q.RouteRegions) > 0 || len(q.AccountRegions) > 0 }

// Classify returns a replica's class for a request, and the cause if it is not Eligible.
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

// hasLoadRules reports whether any rule limits the load of replicas.
func (r *Rules) hasLoadRules() bool {
	return r.HasWarmUpRoom != nil || r.AcceptsRequests != nil || r.HasLimitRoom != nil
}

// loadCause returns why a replica can take no further request from this daemon, or None.
func (r *Rules) loadCause(replica *fleet.Replica) Cause {
	switch {
	case r.HasWarmUpRoom != nil && !r.HasWarmUpRoom(replica):
		return WarmingUp
	case r.AcceptsRequests != nil && !r.AcceptsRequests(replica):
		return Resting
	case r.HasLimitRoom != nil && !r.HasLimitRoom(replica):
		return Limited
	}
	return None
}

// Selection holds replicas by class.
type Selection struct {
	byClass [numClasses][]*fleet.Replica
	counts  Counts
}

// Select classifies all replicas. If all are eligible, nothing is copied and the result holds the
// given slice.
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

// Counts returns how many replicas were excluded or ranked lower, by cause.
func (s *Selection) Counts() Counts { return s.counts }

// Counts counts replicas by cause.
type Counts [numCauses]int

// HasAny reports whether any cause was counted.
func (c Counts) HasAny() bool {
	for cause := Tried; cause < numCauses; cause++ {
		if c[cause] > 0 {
			return true
		}
	}
	return false
}

// MostFrequent returns the cause with the highest count, or None if nothing was counted.
func (c Counts) MostFrequent() Cause {
	most := None
	for cause := Tried; cause < numCauses; cause++ {
		if c[cause] > 0 && (most == None || c[cause] > c[most]) {
			most = cause
		}
	}
	return most
}

// ForEach calls f with each cause that was counted, and its count.
func (c Counts) ForEach(f func(cause Cause, count int)) {
	for cause := Tried; cause < numCauses; cause++ {
		if c[cause] > 0 {
			f(cause, c[cause])
		}
	}
}

// String formats the counts for log lines, such as "hall_closed=3 warm_up=1".
func (c Counts) String() string {
	var all []string
	c.ForEach(func(cause Cause, count int) {
		all = append(all, string(cause.Reason())+"="+strconv.Itoa(count))
	})
	return strings.Join(all, " ")
}

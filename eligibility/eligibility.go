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
	// Region: the request must not run where the replica is.
	Region
	// Hall: the replica's data hall is closed or closing.
	Hall
	// WarmUp: the replica is warming up and bears no more now.
	WarmUp
	// Limited: the replica's head names a limit, and this daemon has no part of it left now.
	Limited
	// Resting: the replica's head wants nothing from this daemon for a while.
	Resting
	// Suspected replicas may have stopped.
	Suspected
	// Leaving replicas end soon.
	Leaving
	causes
)

// reasons holds the causes' names in answers, logs and counters.
var reasons = [causes]reason.Reason{
	Tried: reason.Tried, Region: reason.RegionNotAllowed, Hall: reason.HallClosed,
	WarmUp: reason.WarmUp, Limited: reason.Limited, Resting: reason.Resting, Suspected: reason.Suspected, Leaving: reason.Leaving,
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
	// Doubtful replicas are suspected to have stopped.
	Doubtful
	// Excluded replicas must not get the request.
	Excluded
)

// classes is how many classes may take a request.
const classes = int(Excluded)

// Rules is what replicas are judged by at one moment. A function that is nil keeps
// nothing out.
type Rules struct {
	// Hall returns the state of a data hall.
	Hall func(hall string) fleet.HallState
	// Region returns the region of a data hall.
	Region func(hall string) string
	// WarmUp reports whether a replica bears one more request from this daemon.
	WarmUp func(r *fleet.Replica) bool
	// Limit reports whether the limit that a replica's head names bears one more request from
	// this daemon.
	Limit func(r *fleet.Replica) bool
	// Rested reports whether a replica's head wants requests from this daemon.
	Rested func(r *fleet.Replica) bool
	// Suspected reports whether a replica may have stopped.
	Suspected func(r *fleet.Replica) bool
}

// Request is what matters of a request.
type Request struct {
	// Route and Account are the regions allowed by the route and by the client account;
	// both bind.
	Route, Account fleet.Regions
	// Tried holds the replicas that failed the request before, by id.
	Tried map[string]bool
}

// bound reports whether the request must not run everywhere.
func (q *Request) bound() bool { return len(q.Route) > 0 || len(q.Account) > 0 }

// Judge returns how readily a replica takes a request, and why not more so.
func (r *Rules) Judge(q *Request, replica *fleet.Replica) (Class, Cause) {
	if q.Tried[replica.ID] {
		return Excluded, Tried
	}
	if r.Region != nil && q.bound() {
		region := r.Region(replica.Head.Zone)
		if !q.Route.Allows(region) || !q.Account.Allows(region) {
			return Excluded, Region
		}
	}
	class, cause := Eligible, None
	if r.Hall != nil {
		switch r.Hall(replica.Head.Zone) {
		case fleet.HallClosed:
			return Excluded, Hall
		case fleet.HallClosing:
			class, cause = Reserve, Hall
		}
	}
	if r.bounds() {
		if bound := r.bound(replica); bound != None {
			return Excluded, bound
		}
	}
	if r.Suspected != nil && r.Suspected(replica) {
		return Doubtful, Suspected
	}
	return class, cause
}

// bounds reports whether anything bounds what replicas bear. Mostly nothing does.
func (r *Rules) bounds() bool { return r.WarmUp != nil || r.Rested != nil || r.Limit != nil }

// bound returns what keeps a replica from bearing one more request from this daemon.
func (r *Rules) bound(replica *fleet.Replica) Cause {
	switch {
	case r.WarmUp != nil && !r.WarmUp(replica):
		return WarmUp
	case r.Rested != nil && !r.Rested(replica):
		return Resting
	case r.Limit != nil && !r.Limit(replica):
		return Limited
	}
	return None
}

// Selection is replicas by class.
type Selection struct {
	byClass [classes][]*fleet.Replica
	counts  Counts
}

// Select judges all replicas. Where all are eligible nothing is copied, and the result
// holds the slice given.
func (r *Rules) Select(q *Request, replicas []*fleet.Replica) Selection {
	var s Selection
	copied := false
	for i, replica := range replicas {
		class, cause := r.Judge(q, replica)
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

// Of returns the replicas of a class.
func (s *Selection) Of(c Class) []*fleet.Replica { return s.byClass[c] }

// Empty reports whether no replica may take the request.
func (s *Selection) Empty() bool {
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
type Counts [causes]int

// Any reports whether anything was counted but replicas without a cause.
func (c Counts) Any() bool {
	for cause := Tried; cause < causes; cause++ {
		if c[cause] > 0 {
			return true
		}
	}
	return false
}

// Most returns the cause that kept the most replicas out, and None if there is none.
func (c Counts) Most() Cause {
	most := None
	for cause := Tried; cause < causes; cause++ {
		if c[cause] > 0 && (most == None || c[cause] > c[most]) {
			most = cause
		}
	}
	return most
}

// Each calls f with each cause that kept replicas out, and how many.
func (c Counts) Each(f func(cause Cause, count int)) {
	for cause := Tried; cause < causes; cause++ {
		if c[cause] > 0 {
			f(cause, c[cause])
		}
	}
}

// String returns the counts as they stand in log lines: "hall_closed=3 warm_up=1".
func (c Counts) String() string {
	var all []string
	c.Each(func(cause Cause, count int) {
		all = append(all, string(cause.Reason())+"="+strconv.Itoa(count))
	})
	return strings.Join(all, " ")
}

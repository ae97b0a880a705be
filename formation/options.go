package formation

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/fleet"
)

// Options configures a Reconciler.
type Options struct {
	Config    func() *fleet.Config
	Inventory *fleet.Inventory
	Orders    WorkerClient
	// IndirectLeave orders a head that this daemon cannot reach to leave its group.
	IndirectLeave IndirectLeave
	// MeasuredWork returns the measured work of each model.
	MeasuredWork func() map[string]Work
	// FirstListAt returns the time when this process first received the worker list.
	FirstListAt func() time.Time
	// HasTraffic reports whether any request has reached the fleet yet. It is not called if a
	// replica had served when the term began, since traffic is then assumed.
	HasTraffic func() bool
	// OnAnnouncement is called with an announcement whenever a group is opened or closed.
	OnAnnouncement func(a fleet.Announcement)
	// StallTimeout is the time for which a group that lost a member stalls before it breaks.
	StallTimeout time.Duration
	LoadLimit    LoadLimit
	// OnOrderOutcome is called with the outcome of each attempt to send an order. The outcome is
	// the verdict's name, or "unanswered". It is "returned" if a head that had left its group
	// reports that it is in the group again.
	OnOrderOutcome func(order, outcome string)
	// SmoothedWork returns the smoothed work that this daemon tracked before it became leader (see
	// WorkSmoother). The term starts with it. The function is nil if no work was tracked.
	SmoothedWork func() map[string]Work
	// ToleratedHallLosses is the number of data halls that may be lost at once while enough
	// replicas of each model remain. HallLossWeight is the weight of requests that are lost with a
	// hall, relative to requests lost now. If HallLossWeight is zero, plans don't account for hall
	// losses.
	ToleratedHallLosses int
	HallLossWeight      float64
	// IsHallOpen reports whether a data hall takes requests. The function is nil if all halls take
	// requests.
	IsHallOpen func(hall string) bool
	// AreLinksUp reports whether this daemon's own links to the workers of a service are up, after a
	// call to the given worker failed. Only then the worker is treated as gone. The function is nil if
	// the links are always up.
	AreLinksUp func(ctx context.Context, failed *fleet.Worker) bool
	// CheckSuspension is called before each order. If the machine was suspended, it ends the term,
	// since the leader's state may be outdated. The function is nil if the machine is never
	// suspended.
	CheckSuspension func()
	Logger          hclog.Logger
}

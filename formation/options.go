package formation

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/fleet"
)

// Options configures a Keeper.
type Options struct {
	Config    func() *fleet.Config
	Inventory *fleet.Inventory
	Orders    Orders
	// IndirectLeave orders a head that this daemon cannot reach to leave its group.
	IndirectLeave IndirectLeave
	// Demand returns the measured work of each model.
	Demand func() map[string]Work
	// ListSince returns the time when this process first received the worker list.
	ListSince func() time.Time
	// Traffic reports whether any request has reached the fleet yet. It is not called if a replica
	// had served when the term began, since traffic is then assumed.
	Traffic func() bool
	// Announced is called whenever a group is opened or closed.
	Announced func(a fleet.Announcement)
	// StallAfter is the time for which a group that lost a member stalls before it breaks.
	StallAfter time.Duration
	Ceiling    Ceiling
	// Counted is called with each order sent to a worker and its outcome. The outcome is the
	// verdict's name, or "unanswered". It is "returned" if a head that had left its group reports
	// to be in the group again.
	Counted func(order, outcome string)
	// Smoothed returns the smoothed work that this daemon tracked before it became leader (see
	// Smoother). The term starts with it. The function is nil if no work was tracked.
	Smoothed func() map[string]Work
	// BearHalls is the number of data halls that may be lost at once while enough replicas of each
	// model remain. HallWeight is the weight of requests that are lost with a hall, relative to
	// requests lost now. If it is zero, plans don't account for hall losses.
	BearHalls  int
	HallWeight float64
	// HallOpen reports whether a data hall takes requests. The function is nil if all halls do.
	HallOpen func(hall string) bool
	// Awake is called before each order. It ends the term if the machine was suspended, since the
	// leader's state may then be outdated. The function is nil if the machine is never suspended.
	Awake  func()
	Logger hclog.Logger
}

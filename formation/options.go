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
	// IndirectLeave is used for heads that this daemon cannot reach.
	IndirectLeave IndirectLeave
	// Demand returns the measured work of each model.
	Demand func() map[string]Work
	// ListSince returns since when this process has known the worker list.
	ListSince func() time.Time
	// Traffic reports whether any request has reached the fleet yet. A leader of a fleet that
	// already serves assumes so without calling it.
	Traffic func() bool
	// Announced is called with each decision about a group.
	Announced func(a fleet.Announcement)
	// StallAfter is how long a group stalls after it lost a member before it breaks.
	StallAfter time.Duration
	Ceiling    Ceiling
	// Counted is called with each order sent to a worker and its outcome: the verdict's name,
	// "unanswered", or "returned" for a leave that did not last.
	Counted func(order, outcome string)
	// Smoothed returns the smoothed work that this daemon tracked before it became leader (see
	// Smoother), with which the term starts; nil if it tracked none.
	Smoothed func() map[string]Work
	// BearHalls is how many data halls may be lost at once with enough replicas of each model
	// left. HallWeight is the weight of requests lost that way relative to requests lost now; zero
	// disables the consideration of hall losses.
	BearHalls  int
	HallWeight float64
	// HallOpen reports whether a data hall takes requests; nil if all do.
	HallOpen func(hall string) bool
	// Awake is called before each order. It ends the term if the machine was suspended in the
	// meantime, since the leader's state may then be outdated; nil for a machine that is never
	// suspended.
	Awake  func()
	Logger hclog.Logger
}

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
	// IndirectLeave is used for heads that this daemon does not reach.
	IndirectLeave IndirectLeave
	// Demand returns the measured work of each model.
	Demand func() map[string]Work
	// ListSince returns since when this process has known the worker list.
	ListSince func() time.Time
	// Traffic reports whether any request has come to the fleet yet. A leader of
	// a fleet that serves takes it for granted.
	Traffic func() bool
	// Announced is called with each decision about a group.
	Announced func(a fleet.Announcement)
	// StallAfter is how long a group whose member is gone stands still before
	// it is broken.
	StallAfter time.Duration
	Ceiling    Ceiling
	// Counted is called with each order given to a worker and its outcome: the
	// verdict's name, "unanswered", or "returned" for a leave that did not last.
	Counted func(order, outcome string)
	// Smoothed returns the smoothed work that this daemon knew before it led (Smoother), from which
	// the term goes on; nil if none is kept.
	Smoothed func() map[string]Work
	// BearHalls is how many data halls may be lost at once, with enough of each model
	// left. HallWeight is what a share of requests that such a loss takes costs, beside one
	// that is lost now; zero leaves the loss of halls out.
	BearHalls  int
	HallWeight float64
	// HallOpen reports whether a data hall takes requests; nil if all do.
	HallOpen func(hall string) bool
	// Awake is called before each order: it ends the term if the machine was suspended since,
	// as what is believed may be long past; nil for a machine that never is.
	Awake  func()
	Logger hclog.Logger
}

package admission

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
	"quartzshelf.dev/common/reason"
)

func TestMain(m *testing.M) { proptest.Main(m) }

func TestDecide(t *testing.T) {
	full := Situation{Reported: 1, InFlight: 100, Slots: 800, Daemons: 8, Own: 5, Accounts: 10}
	change := func(f func(*Situation)) Situation {
		s := full
		f(&s)
		return s
	}
	cases := map[string]struct {
		situation Situation
		want      reason.Reason
	}{
		"full":                            {full, reason.Overloaded},
		"full, high priority":             {change(func(s *Situation) { s.Priority = 1 }), ""},
		"room left by the others":         {change(func(s *Situation) { s.Reported = 0.5 }), ""},
		"own part not used up":            {change(func(s *Situation) { s.InFlight = 60 }), ""},
		"low priority is refused sooner":  {change(func(s *Situation) { s.InFlight, s.Priority = 85, -2 }), reason.Overloaded},
		"large account is held to a part": {change(func(s *Situation) { s.InFlight, s.Own = 95, 50 }), reason.FairShare},
		"small account passes it by":      {change(func(s *Situation) { s.InFlight, s.Own = 95, 2 }), ""},
		"flood":                           {change(func(s *Situation) { s.InFlight, s.Reported = 0, 4 }), reason.Overloaded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got reason.Reason
			if refused := Decide(c.situation); refused != nil {
				got = refused.Reason()
				assert.Assert(t, refused.RetryAfter() >= time.Second)
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// heldLease is what a daemon believes it holds.
type heldLease struct {
	share     float64
	expiresAt time.Time
}

const (
	leasedLimit   = 100.0
	leasingFleet  = 5
	homeIsLost    = 60
	leaseStepTime = 400 * time.Millisecond
)

// leaseAll takes steps, each a daemon's lease or the loss of the home, and
// returns how the limit was exceeded, if it was.
func leaseAll(t *testing.T, steps []int) string {
	problem := ""
	synctest.Test(t, func(*testing.T) {
		home := NewHome()
		leases := make(map[string]heldLease)
		for _, step := range steps {
			time.Sleep(time.Duration(step%7) * leaseStepTime)
			if step == homeIsLost {
				home = NewHome()
				continue
			}
			daemon := fmt.Sprint("entry-", step%leasingFleet)
			share, expiresAt := home.Lease("a", daemon, leasedLimit, float64(step))
			leases[daemon] = heldLease{share, expiresAt}
			if sum := inForce(leases); sum > leasedLimit+1e-6 {
				problem = fmt.Sprintf("leases and floors of %g exceed %g", sum, leasedLimit)
			}
		}
	})
	return problem
}

// inForce returns the sum of the leases in force and of all floors.
func inForce(leases map[string]heldLease) float64 {
	sum := leasingFleet * Floor(leasedLimit, leasingFleet)
	for _, l := range leases {
		if time.Now().Before(l.expiresAt) {
			sum += l.share
		}
	}
	return sum
}

// TestLeasesNeverExceedTheLimit draws daemons that lease, stop leasing and come
// back, and a home that is lost and replaced by one that knows nothing.
func TestLeasesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, homeIsLost), 1, 80).Draw(rt, "steps")
		if problem := leaseAll(t, steps); problem != "" {
			rt.Fatal(problem)
		}
	})
}

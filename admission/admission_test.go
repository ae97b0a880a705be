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
	full := Situation{ReportedOccupancy: 1, InFlight: 100, Slots: 800, Daemons: 8, AccountInFlight: 5, Accounts: 10}
	change := func(f func(*Situation)) Situation {
		s := full
		f(&s)
		return s
	}
	cases := map[string]struct {
		situation Situation
		want      reason.Reason
	}{
		"full":                                    {full, reason.Overloaded},
		"full, high priority":                     {change(func(s *Situation) { s.Priority = 1 }), ""},
		"capacity left by other daemons":          {change(func(s *Situation) { s.ReportedOccupancy = 0.5 }), ""},
		"own share not used up":                   {change(func(s *Situation) { s.InFlight = 60 }), ""},
		"low priority is refused sooner":          {change(func(s *Situation) { s.InFlight, s.Priority = 85, -2 }), reason.Overloaded},
		"a large account is limited to its share": {change(func(s *Situation) { s.InFlight, s.AccountInFlight = 95, 50 }), reason.FairShare},
		"a small account is accepted":             {change(func(s *Situation) { s.InFlight, s.AccountInFlight = 95, 2 }), ""},
		"flood":                                   {change(func(s *Situation) { s.InFlight, s.ReportedOccupancy = 0, 4 }), reason.Overloaded},
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

// heldLease is a lease that a daemon holds.
type heldLease struct {
	share     float64
	expiresAt time.Time
}

const (
	testLimit    = 100.0
	testDaemons  = 5
	homeLossStep = 60
	stepDuration = 400 * time.Millisecond
)

// simulateLeases runs the steps. In each one, a daemon requests a lease, or the home is replaced by
// a new one. If the limit was exceeded, it returns a description of that.
func simulateLeases(t *testing.T, steps []int) string {
	problem := ""
	synctest.Test(t, func(*testing.T) {
		home := NewHome()
		leases := make(map[string]heldLease)
		for _, step := range steps {
			time.Sleep(time.Duration(step%7) * stepDuration)
			if step == homeLossStep {
				home = NewHome()
				continue
			}
			daemon := fmt.Sprint("entry-", step%testDaemons)
			share, expiresAt := home.Lease("a", daemon, testLimit, float64(step))
			leases[daemon] = heldLease{share, expiresAt}
			if sum := sumInForce(leases); sum > testLimit+1e-6 {
				problem = fmt.Sprintf("leases and floors of %g exceed %g", sum, testLimit)
			}
		}
	})
	return problem
}

// sumInForce returns the sum of the leases that have not expired and of the floors of all daemons.
func sumInForce(leases map[string]heldLease) float64 {
	sum := testDaemons * Floor(testLimit, testDaemons)
	for _, l := range leases {
		if time.Now().Before(l.expiresAt) {
			sum += l.share
		}
	}
	return sum
}

// TestLeasesNeverExceedTheLimit checks that the leases never exceed the limit if daemons request
// leases at arbitrary times and homes are replaced by new ones without state.
func TestLeasesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, homeLossStep), 1, 80).Draw(rt, "steps")
		if problem := simulateLeases(t, steps); problem != "" {
			rt.Fatal(problem)
		}
	})
}

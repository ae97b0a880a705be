package allowance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

func configOf(perSecond float64) *fleet.Config {
	return fleet.NewConfig(fleet.Parts{Version: 1, Services: []*fleet.Service{
		{Name: "models", WarmUp: fleet.WarmUp{PerSecond: perSecond, For: 3 * time.Second}},
	}})
}

// viewOf returns a view with one worker.
func viewOf(w *fleet.Worker, at time.Time) *fleet.View {
	i := fleet.NewInventory(fleet.InventoryOptions{Heartbeat: time.Second})
	i.Apply([]fleet.Change{{ID: w.ID, Worker: w}}, 1, at)
	return i.View()
}

// fixture is the allowance of a single daemon with its inputs.
type fixture struct {
	*Allowance
	inventory *fleet.Inventory
	halls     *fleet.Halls
	config    *fleet.Config
	position  int64
	// changes lists the arguments of the calls of Changed.
	changes []string
}

func newFixture(perSecond float64) *fixture {
	f := &fixture{inventory: fleet.NewInventory(fleet.InventoryOptions{Heartbeat: time.Second}), halls: fleet.NewHalls(time.Second), config: configOf(perSecond)}
	f.Allowance = New(Options{
		Self: "a", Members: func() []string { return []string{"a"} }, Bound: Bound{Burst: 1.5, Slack: 5}, Settle: time.Second,
		View: f.inventory.View, Halls: f.halls.View, Config: func() *fleet.Config { return f.config },
		Changed: func(w *fleet.Worker, warming bool) { f.changes = append(f.changes, fmt.Sprint(w.ID, warming)) },
	})
	return f
}

// listWorker adds or updates a worker's entry in the inventory. Its remaining warm-up time is in
// milliseconds.
func (f *fixture) listWorker(id string, coldLeft int64) {
	f.position++
	f.inventory.Apply([]fleet.Change{{ID: id, Worker: &fleet.Worker{ID: id, Service: "models", Zone: "hall", ColdRemainingMillis: coldLeft}}}, f.position, time.Now())
}

// replica returns a replica headed by the worker "w", as the inventory lists it now.
func (f *fixture) replica() *fleet.Replica {
	w, _ := f.inventory.View().Worker("w")
	return &fleet.Replica{ID: "g", Head: w}
}

// setHallClosed closes or opens the worker's data hall.
func (f *fixture) setHallClosed(closed bool) {
	f.position++
	f.halls.ApplyRead(fleet.HallUpdate{Changes: []fleet.HallChange{{Hall: "hall", Closed: closed}}}, f.position, time.Now())
}

// countSends tries to send a request at every step, and returns how many were permitted.
func (f *fixture) countSends(during time.Duration) int {
	count := 0
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(step) {
		if _, ok := f.Take(f.replica(), time.Now()); ok {
			count++
		}
	}
	return count
}

func TestWarmUpLimitsSends(t *testing.T) {
	// A single holder sends 10.5 requests a second, plus one for a saved token.
	const all = int(time.Second / step)
	tests := map[string]struct {
		perSecond float64
		prepare   func(f *fixture)
		minSent   int
		maxSent   int
	}{
		"a worker that is not cold":       {bearableRate, func(f *fixture) { f.listWorker("w", 0) }, all, all},
		"a cold worker":                   {bearableRate, func(f *fixture) { f.listWorker("w", 3000) }, 9, 12},
		"a cold worker, later":            {bearableRate, func(f *fixture) { f.listWorker("w", 3000); time.Sleep(time.Second) }, 9, 12},
		"a worker that has warmed up":     {bearableRate, func(f *fixture) { f.listWorker("w", 3000); time.Sleep(3 * time.Second) }, all, all},
		"another worker is cold":          {bearableRate, func(f *fixture) { f.listWorker("w", 0); f.listWorker("v", 3000) }, all, all},
		"a service without a limit":       {0, func(f *fixture) { f.listWorker("w", 3000) }, all, all},
		"a service with a very low limit": {0.1, func(f *fixture) { f.listWorker("w", 3000) }, 0, 1},
		"a worker that turns cold between two entries": {bearableRate, func(f *fixture) {
			f.listWorker("w", 0)
			f.Refresh(time.Now())
			f.listWorker("w", 3000)
		}, 9, 12},
		"its hall is opened again": {bearableRate, func(f *fixture) {
			f.listWorker("w", 0)
			f.setHallClosed(true)
			f.setHallClosed(false)
		}, 9, 12},
		"its hall was opened a while ago": {bearableRate, func(f *fixture) {
			f.listWorker("w", 0)
			f.setHallClosed(true)
			f.setHallClosed(false)
			time.Sleep(4 * time.Second)
		}, all, all},
		"its hall is opened a second time": {bearableRate, func(f *fixture) {
			f.listWorker("w", 0)
			for range 2 {
				f.setHallClosed(true)
				f.setHallClosed(false)
				time.Sleep(4 * time.Second)
			}
			f.setHallClosed(true)
			f.setHallClosed(false)
		}, 9, 12},
		"its hall was opened, and its entry covers that": {bearableRate, func(f *fixture) {
			f.listWorker("w", 0)
			f.setHallClosed(true)
			f.setHallClosed(false)
			f.listWorker("w", 2000)
			f.Refresh(time.Now())
			time.Sleep(time.Second)
			f.listWorker("w", 1000)
			f.Refresh(time.Now())
			time.Sleep(time.Second)
			f.listWorker("w", 0)
			f.Refresh(time.Now())
		}, all, all},
		"its hall was opened again after its entry": {bearableRate, func(f *fixture) {
			f.listWorker("w", 0)
			f.setHallClosed(true)
			f.setHallClosed(false)
			f.listWorker("w", 2000)
			f.Refresh(time.Now())
			time.Sleep(2 * time.Second)
			f.listWorker("w", 0)
			f.setHallClosed(true)
			f.setHallClosed(false)
		}, 9, 12},
		"its hall was opened, and its entry is of an earlier warm-up": {bearableRate, func(f *fixture) {
			f.listWorker("w", 3000)
			time.Sleep(2 * time.Second)
			f.setHallClosed(true)
			f.setHallClosed(false)
			time.Sleep(2 * time.Second)
		}, 9, 12},
		"no configuration is known": {bearableRate, func(f *fixture) { f.config = nil; f.listWorker("w", 3000) }, all, all},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(test.perSecond)
				test.prepare(f)
				got := f.countSends(time.Second)
				assert.Assert(t, got >= test.minSent && got <= test.maxSent, "%d sent", got)
			})
		})
	}
}

// TestCheckAndTakeAgree checks that a token is available to Check and Take from the time that Next
// returns, and not before.
func TestCheckAndTakeAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(bearableRate)
		assert.Assert(t, f.Check(time.Now()) == nil, "no worker is cold")
		f.listWorker("w", 3000)
		for range 5 {
			next := f.Next(f.replica(), time.Now())
			time.Sleep(time.Until(next) - time.Nanosecond)
			assert.Assert(t, !f.Check(time.Now())(f.replica()))
			time.Sleep(time.Nanosecond)
			assert.Assert(t, f.Check(time.Now())(f.replica()))
			sendBy, ok := f.Take(f.replica(), time.Now())
			assert.Assert(t, ok)
			assert.Equal(t, sendBy, time.Now().Add(TokenLifetime))
			_, ok = f.Take(f.replica(), time.Now())
			assert.Assert(t, !ok, "the bucket holds one token")
		}
	})
}

func TestChangesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(bearableRate)
		f.listWorker("w", 0)
		f.Refresh(time.Now())
		f.listWorker("w", 2000)
		f.Refresh(time.Now())
		f.listWorker("w", 1500)
		f.Refresh(time.Now())
		assert.Equal(t, f.CountWarming(), 1)
		time.Sleep(2 * time.Second)
		f.Refresh(time.Now())
		assert.Equal(t, f.CountWarming(), 0)
		assert.DeepEqual(t, f.changes, []string{"wtrue", "wfalse"})
	})
}

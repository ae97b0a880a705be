package daemon

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quartzshelf.dev/hall"
)

func (d *Daemon) newHallWatch() *hall.Watch {
	w := hall.NewWatch(hall.Options{
		Config: d.configState.View, Catalog: d.catalog, CountReached: d.agent.CountReached,
		InFlight: d.gateway.InFlight().Count, Daemons: d.daemonsByHall,
		ServeWindow: d.settings.ServeWindow, Logger: d.logger.Named("hall"),
	})
	for _, state := range []hall.State{hall.Open, hall.Closing, hall.Empty} {
		d.meter.ExportGauge("data_halls_"+string(state), func() float64 { return float64(w.Count(state)) })
	}
	return w
}

// daemonsByHall returns how many daemons run in each data hall.
func (d *Daemon) daemonsByHall() map[string]int {
	all := make(map[string]int)
	for _, m := range d.agent.Table().Alive() {
		all[m.DataHall]++
	}
	return all
}

// warnings returns texts about settings of the current configuration that are valid but
// probably mistakes.
func (d *Daemon) warnings() []string {
	warnings := d.configState.View().Warnings()
	var populated, unpopulated []string
	openHalls := 0
	for _, s := range d.hallWatch.Statuses(time.Now()) {
		if s.Nodes == 0 && s.Daemons == 0 {
			unpopulated = append(unpopulated, s.Name)
			continue
		}
		populated = append(populated, s.Name)
		if s.State == hall.Open {
			openHalls++
		}
	}
	if len(d.catalog.Reports()) == 0 {
		// A daemon that has just started has no reports of nodes yet.
		unpopulated = nil
	}
	for _, name := range unpopulated {
		warnings = append(warnings, fmt.Sprintf(
			"DataHall/%s: no node and no daemon is there; halls with any are %s", name, strings.Join(populated, ", ")))
	}
	if openHalls == 0 && len(populated) > 0 {
		warnings = append(warnings, "every data hall is closed: all requests are refused with hall_closed")
	}
	return warnings
}

func (d *Daemon) explainHall(name string) (Explanation, bool) {
	all := d.hallWatch.Statuses(time.Now())
	i := slices.IndexFunc(all, func(s hall.Status) bool { return s.Name == name })
	if i < 0 {
		return Explanation{}, false
	}
	s := all[i]
	e := Explanation{Subject: "data hall " + name, State: string(s.State), Because: s.Obstacles}
	if s.State != hall.Open {
		e.Because = append([]string{fmt.Sprintf("hall_closed: an operator closed it in revision %d", s.Revision)}, e.Because...)
	}
	e.Because = append(e.Because, fmt.Sprintf("%d replicas on %d nodes are there, %d requests are in flight, region %q",
		s.Replicas, s.Nodes, s.InFlight, s.Region))
	return e, true
}

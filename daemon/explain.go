package daemon

import (
	"fmt"
	"slices"
	"time"

	"quartzshelf.dev/catalog"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/gateway"
	"quartzshelf.dev/rpc"
)

// Explanation tells an operator why a subject is in its state.
type Explanation struct {
	Subject string `json:"subject"`
	State   string `json:"state"`
	// Because are the reasons, one sentence each.
	Because []string `json:"because"`
}

// explain returns why a replica, a node or a data hall is in its state, or why a request
// was sent to its replica. It reports false if the subject is unknown.
func (d *Daemon) explain(kind, name string) (Explanation, bool) {
	switch kind {
	case "replica":
		return d.explainReplica(name)
	case "node":
		return d.explainNode(name)
	case "request":
		return d.explainRequest(name)
	case "hall":
		return d.explainHall(name)
	default:
		return Explanation{}, false
	}
}

func (d *Daemon) explainReplica(name string) (Explanation, bool) {
	rows := d.replicaRows(time.Now())
	i := slices.IndexFunc(rows, func(r ReplicaRow) bool { return r.Name == name })
	if i < 0 {
		return Explanation{}, false
	}
	row := rows[i]
	e := Explanation{Subject: "replica " + name, State: row.State}
	if row.Reason != "" {
		e.Because = append(e.Because, row.Reason)
	}
	if r, ok := d.catalog.Replica(name); ok {
		e.Because = append(e.Because, d.exclusionReasons(r)...)
	}
	for _, report := range d.catalog.Reports() {
		if report.Domain == row.Domain {
			e.Because = append(e.Because, fmt.Sprintf("reported by %s, which leads domain %s under epoch %d, rank %d",
				report.Owner, report.Domain, report.Token.GetEpoch(), report.Token.GetRank()))
			e.Because = append(e.Because, unassignedNodes(report, row.Nodes)...)
		}
	}
	return e, true
}

// exclusionReasons returns why a replica gets no requests although its owner lists it as
// serving. Each line begins with a reason.Reason. Limits of single client accounts, such as
// their allowed regions, are not considered.
func (d *Daemon) exclusionReasons(r catalog.Replica) []string {
	if !r.ReportedServing() {
		return nil
	}
	view := d.configState.View()
	dataHall := view.Hall(r.DataHall())
	var all []string
	add := func(why reason.Reason, format string, args ...any) {
		all = append(all, fmt.Sprintf("%s: %s", why, fmt.Sprintf(format, args...)))
	}
	if dataHall.Closed() {
		add(reason.HallClosed, "an operator closed its data hall %s", dataHall.Name())
	}
	if deployment, ok := view.Deployment(r.Deployment()); ok && !deployment.AllowedRegions().Allow(dataHall.Region()) {
		add(reason.RegionNotAllowed, "its data hall %s lies in region %q, the deployment allows %v",
			dataHall.Name(), dataHall.Region(), deployment.AllowedRegions())
	}
	if r.Draining() {
		add(reason.Leaving, "it is draining")
	}
	if !time.Now().Before(r.Deadline()) {
		add(reason.Suspected, "nothing was heard from the leader of its domain")
	}
	return all
}

// unassignedNodes describes the given nodes whose state isn't ASSIGNED.
func unassignedNodes(report *rpc.DomainReport, nodes []string) []string {
	var all []string
	for _, n := range report.Nodes {
		if slices.Contains(nodes, n.Id) && n.State != rpc.NodeState_ASSIGNED {
			all = append(all, fmt.Sprintf("node %s is %s", n.Id, n.State))
		}
	}
	return all
}

func (d *Daemon) explainNode(name string) (Explanation, bool) {
	for _, report := range d.catalog.Reports() {
		for _, n := range report.Nodes {
			if n.Id != name {
				continue
			}
			e := Explanation{Subject: "node " + name, State: n.State.String()}
			if n.Replica != "" {
				e.Because = append(e.Because, "it is assigned to replica "+n.Replica)
			}
			if n.Reason != "" {
				e.Because = append(e.Because, n.Reason)
			}
			if d.configState.View().Hall(report.DataHall).Closed() {
				e.Because = append(e.Because, fmt.Sprintf("%s: an operator closed its data hall %s", reason.HallClosed, report.DataHall))
			}
			return e, true
		}
	}
	return Explanation{}, false
}

func (d *Daemon) explainRequest(id string) (Explanation, bool) {
	decision, ok := d.gateway.Decision(id)
	if !ok {
		return Explanation{}, false
	}
	if decision.RefusalReason != "" {
		return explainRefusal(decision), true
	}
	e := Explanation{
		Subject: "request " + id,
		State:   "sent to replica " + decision.Replica,
		Because: []string{
			fmt.Sprintf("at %s it was chosen from %d serving replicas of %s for client account %s",
				decision.Time.Format(time.RFC3339Nano), decision.CandidateCount, decision.Deployment, decision.Account),
			fmt.Sprintf("its slots were %.0f%% occupied, the least occupied replica's %.0f%%",
				100*decision.Occupancy, 100*decision.LeastOccupancy),
		},
	}
	if len(decision.PassedOver) > 0 {
		e.Because = append(e.Because, "passed over: "+decision.PassedOver.String())
	}
	return e, true
}

// explainRefusal returns why a request was refused.
func explainRefusal(decision gateway.Decision) Explanation {
	e := Explanation{
		Subject: "request " + decision.RequestID,
		State:   "refused: " + string(decision.RefusalReason),
		Because: []string{fmt.Sprintf("at %s for client account %s: %s",
			decision.Time.Format(time.RFC3339Nano), decision.Account, decision.RefusalMessage)},
	}
	if len(decision.PassedOver) > 0 {
		e.Because = append(e.Because, "passed over: "+decision.PassedOver.String())
	}
	return e
}

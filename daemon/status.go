package daemon

import (
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/hall"
	"quartzshelf.dev/rpc"
)

// Status describes the fleet as this daemon sees it. Operators get it as JSON.
type Status struct {
	Daemon   string                  `json:"daemon"`
	Ready    string                  `json:"ready"`
	Revision int64                   `json:"revision"`
	Sums     Sums                    `json:"sums"`
	Requests int64                   `json:"requests"`
	Refusals map[reason.Reason]int64 `json:"refusals"`
	Retries  map[reason.Reason]int64 `json:"retries"`
	Members  []MemberRow             `json:"members"`
	Domains  []DomainRow             `json:"domains"`
	Replicas []ReplicaRow            `json:"replicas"`
	Nodes    []NodeRow               `json:"nodes"`
	Halls    []hall.Status           `json:"halls"`
	Warnings []string                `json:"warnings"`
	// LogProblem says that the log does not answer, and is empty otherwise.
	LogProblem string `json:"log_silent,omitempty"`
}

// MemberRow describes a daemon.
type MemberRow struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	DataHall string `json:"data_hall"`
	Address  string `json:"address"`
}

// DomainRow describes a fabric domain.
type DomainRow struct {
	Name     string `json:"name"`
	DataHall string `json:"data_hall"`
	Owner    string `json:"owner"`
	// Leader is the daemon that reports on the domain now. It is a deputy while the owner
	// is unavailable.
	Leader  string `json:"leader"`
	Epoch   uint64 `json:"epoch"`
	Rank    uint32 `json:"rank"`
	Current bool   `json:"current"`
}

// ReplicaRow describes a replica. State is one of the states below.
type ReplicaRow struct {
	Name       string   `json:"name"`
	Deployment string   `json:"deployment"`
	Domain     string   `json:"domain"`
	State      string   `json:"state"`
	Generation uint64   `json:"generation"`
	Version    string   `json:"version"`
	Nodes      []string `json:"nodes"`
	Active     int      `json:"active"`
	Queue      int      `json:"queue"`
	Reason     string   `json:"reason"`
}

// NodeRow describes a node.
type NodeRow struct {
	Name         string `json:"name"`
	Domain       string `json:"domain"`
	State        string `json:"state"`
	Replica      string `json:"replica"`
	Accelerators int    `json:"accelerators"`
	Reason       string `json:"reason"`
}

// States of a replica in answers to operators.
const (
	replicaServing  = "serving"
	replicaDraining = "draining"
	replicaDark     = "dark"
	replicaScripted = "serving (scripts)"
	replicaClosed   = "in closed hall"
)

func (d *Daemon) status() Status {
	now := time.Now()
	s := Status{
		Daemon: d.settings.Name, Ready: "ready", Revision: d.configState.View().Revision(),
		Sums: d.downtimeAccounting.sums(), Requests: d.meter.Requests(),
		Refusals: d.meter.Refusals(), Retries: d.meter.Retries(),
		Warnings: d.warnings(),
		Replicas: d.replicaRows(now),
		Halls:    d.hallWatch.Statuses(now),
	}
	if closed := d.readiness.checkReady(); closed != nil {
		s.Ready = string(closed.Reason) + ": " + closed.Message
	}
	if confirmed := d.followers[streamConfiguration].Confirmed(); now.Sub(confirmed) > contactTimeout {
		s.LogProblem = "the log does not answer"
	}
	for _, m := range d.agent.Table().Members() {
		s.Members = append(s.Members, memberRow(m))
	}
	for _, report := range d.catalog.Reports() {
		s.Domains = append(s.Domains, d.domainRow(report, now))
		for _, n := range report.Nodes {
			s.Nodes = append(s.Nodes, nodeRow(report.Domain, n))
		}
	}
	return s
}

func memberRow(m *rpc.Member) MemberRow {
	row := MemberRow{Name: m.Id, State: m.State.String(), DataHall: m.DataHall, Address: m.EntryAddress}
	if m.Leaving && m.State == rpc.MemberState_ALIVE {
		row.State = "LEAVING"
	}
	return row
}

func (d *Daemon) domainRow(report *rpc.DomainReport, now time.Time) DomainRow {
	_, deadline, _ := d.catalog.TokenAndDeadline(report.Domain)
	return DomainRow{
		Name: report.Domain, DataHall: report.DataHall,
		Owner: d.grants.Grant(report.Domain).Owner(), Leader: report.Owner,
		Epoch: report.Token.GetEpoch(), Rank: report.Token.GetRank(), Current: now.Before(deadline),
	}
}

func nodeRow(domain string, n *rpc.NodeReport) NodeRow {
	return NodeRow{
		Name: n.Id, Domain: domain, State: n.State.String(), Replica: n.Replica,
		Accelerators: int(n.Accelerators), Reason: n.Reason,
	}
}

func (d *Daemon) replicaRows(now time.Time) []ReplicaRow {
	rows := []ReplicaRow{}
	for _, r := range d.catalog.Replicas() {
		row := ReplicaRow{
			Name: r.ID(), Deployment: r.Deployment(), Domain: r.Domain(), Generation: r.Generation(),
			Version: r.ModelVersion(), Nodes: r.Nodes(), Reason: r.Reason(),
			Active: r.Load().Active(), Queue: r.Load().Queue(),
		}
		switch {
		case !r.ReportedServing():
			row.State = replicaDark
		case !now.Before(r.Deadline()):
			row.State = replicaDark
			row.Reason = "nothing was heard from the leader of its domain"
		case d.configState.View().Hall(r.DataHall()).Closed():
			row.State = replicaClosed
		case r.Draining():
			row.State = replicaDraining
		case r.Scripted():
			row.State = replicaScripted
		default:
			row.State = replicaServing
		}
		rows = append(rows, row)
	}
	return rows
}

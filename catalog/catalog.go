// Package catalog holds the newest report of each fabric domain, and determines which replicas may
// serve now. The owner of a domain is the daemon that reports the domain's nodes and replicas. A
// report says how much longer its replicas may serve, which the catalog converts into a local
// deadline. A daemon that receives no more reports therefore stops sending requests.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quartzshelf.dev/common/token"
	"quartzshelf.dev/rpc"
)

// expiredReportRetention is how long a report is kept after its deadline, for operators to inspect.
const expiredReportRetention = time.Hour

// storedReport is a report with the data of its newest renewal.
type storedReport struct {
	// report is shared and never modified.
	report *rpc.DomainReport
	token  token.Token
	// beat is the number of the newest renewal.
	beat uint64
	// loads holds the loads in the newest renewal, valuesPerLoad values for each replica.
	loads []uint32
	// deadline is the time until which the replicas may serve.
	deadline time.Time
	removeAt time.Time
}

// digest returns a summary by which a peer can tell whether the report is newer than its own.
func (h *storedReport) digest() *rpc.ReportDigest {
	return &rpc.ReportDigest{
		Domain: h.report.Domain, Token: h.report.Token, Version: h.report.Version, Beat: h.beat,
	}
}

// Catalog holds the newest report of each domain. It is safe for concurrent use.
type Catalog struct {
	mu      sync.RWMutex
	domains map[string]*storedReport
	// replicas holds the replicas by deployment, as derived from domains.
	replicas map[string][]Replica
	// isStale is set if domains has changed since replicas was derived.
	isStale bool
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		domains:  make(map[string]*storedReport),
		replicas: make(map[string][]Replica),
	}
}

// Replica is one replica as reported by the owner of its domain.
type Replica struct {
	domain   string
	dataHall string
	deadline time.Time
	report   *rpc.ReplicaReport
	load     Load
}

// Load is the load that a replica last reported. It may be outdated.
type Load struct {
	queue, active, slots int
}

// Queue returns the number of waiting requests.
func (l Load) Queue() int { return l.queue }

// Active returns the number of requests being processed.
func (l Load) Active() int { return l.active }

// Slots returns the number of requests that the replica can process concurrently.
func (l Load) Slots() int { return l.slots }

// ID returns the replica's name.
func (r Replica) ID() string { return r.report.Id }

// AssignedName returns the name of the replica in the nodes' assignments. It differs from ID for
// replicas run by scripts, which choose their own names.
func (r Replica) AssignedName() string {
	if r.report.AssignedName != "" {
		return r.report.AssignedName
	}
	return r.report.Id
}

// Domain returns the fabric domain of the replica.
func (r Replica) Domain() string { return r.domain }

// DataHall returns the data hall of the replica's nodes.
func (r Replica) DataHall() string { return r.dataHall }

// Deployment returns the deployment of the replica.
func (r Replica) Deployment() string { return r.report.Deployment }

// Generation returns the replica's generation. Engines refuse requests for other generations.
func (r Replica) Generation() uint64 { return r.report.Generation }

// Address returns the IP:port that serves requests.
func (r Replica) Address() string { return r.report.LeaderAddress }

// Nodes returns the ids of the replica's nodes.
func (r Replica) Nodes() []string { return r.report.Nodes }

// Deadline returns the time after which the replica may no longer serve.
func (r Replica) Deadline() time.Time { return r.deadline }

// Draining reports whether the replica takes no new requests.
func (r Replica) Draining() bool { return r.report.Draining }

// Scripted reports whether the replica is run by scripts.
func (r Replica) Scripted() bool { return r.report.Scripted }

// Reason returns the reason that the owner reports for a replica that does not serve.
func (r Replica) Reason() string { return r.report.Reason }

// ModelVersion returns the version of the model that the replica runs.
func (r Replica) ModelVersion() string { return r.report.ModelVersion }

// Load returns the replica's load.
func (r Replica) Load() Load { return r.load }

// ReportedServing reports whether the owner reports the replica as serving.
func (r Replica) ReportedServing() bool { return r.report.Serving }

// MayServe reports whether the replica may be sent requests at the given time. It must be called
// immediately before a request is sent. If sending is delayed after the call, engines still refuse
// requests for another generation.
func (r Replica) MayServe(now time.Time) bool {
	return r.report.Serving && !r.report.Draining && now.Before(r.deadline)
}

// Serving returns the deployment's replicas that may serve at the given time.
func (c *Catalog) Serving(deployment string, now time.Time) []Replica {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := c.replicas[deployment]
	serving := make([]Replica, 0, len(all))
	for _, r := range all {
		if r.MayServe(now) {
			serving = append(serving, r)
		}
	}
	return serving
}

// ReplicasOf returns all replicas of the deployment, sorted by name. The slice is shared and must
// not be modified.
func (c *Catalog) ReplicasOf(deployment string) []Replica {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.replicas[deployment]
}

// InDomain returns the replicas of a fabric domain.
func (c *Catalog) InDomain(domain string) []Replica {
	c.mu.RLock()
	defer c.mu.RUnlock()
	h, ok := c.domains[domain]
	if !ok {
		return nil
	}
	return h.replicas()
}

// Replicas returns every replica of every deployment, sorted by name.
func (c *Catalog) Replicas() []Replica {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var all []Replica
	for _, replicas := range c.replicas {
		all = append(all, replicas...)
	}
	slices.SortFunc(all, func(a, b Replica) int { return strings.Compare(a.ID(), b.ID()) })
	return all
}

// Replica returns the replica with the given name.
func (c *Catalog) Replica(id string) (Replica, bool) {
	for _, r := range c.Replicas() {
		if r.ID() == id {
			return r, true
		}
	}
	return Replica{}, false
}

// Reports returns the newest report of each domain, sorted by domain. They must not be modified.
func (c *Catalog) Reports() []*rpc.DomainReport {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make([]*rpc.DomainReport, 0, len(c.domains))
	for _, h := range c.domains {
		all = append(all, h.report)
	}
	slices.SortFunc(all, func(a, b *rpc.DomainReport) int { return strings.Compare(a.Domain, b.Domain) })
	return all
}

// TokenAndDeadline returns the token and the deadline of a domain's newest report.
func (c *Catalog) TokenAndDeadline(domain string) (token.Token, time.Time, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	h, ok := c.domains[domain]
	if !ok {
		return token.Token{}, time.Time{}, false
	}
	return h.token, h.deadline, true
}

// Version returns the version of a domain's newest report, or zero.
func (c *Catalog) Version(domain string) uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if h, ok := c.domains[domain]; ok {
		return h.report.Version
	}
	return 0
}

// Publish adds a report that this daemon made as owner of the domain. The replicas in it may serve
// until deadline.
func (c *Catalog) Publish(report *rpc.DomainReport, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(report, deadline)
	c.rebuild()
}

// Digest returns the digests of all reports. It implements membership.Reports.
func (c *Catalog) Digest() []*rpc.ReportDigest {
	c.mu.RLock()
	defer c.mu.RUnlock()
	digest := make([]*rpc.ReportDigest, 0, len(c.domains))
	for _, h := range c.domains {
		digest = append(digest, h.digest())
	}
	return digest
}

// MissingFrom returns the reports that are newer than those in a peer's digest. If the peer already
// has a report's content, only the renewal is returned. It implements membership.Reports.
func (c *Catalog) MissingFrom(digest []*rpc.ReportDigest) []*rpc.DomainReport {
	peerDigests := make(map[string]*rpc.ReportDigest, len(digest))
	for _, d := range digest {
		peerDigests[d.Domain] = d
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := time.Now()
	var missing []*rpc.DomainReport
	for domain, h := range c.domains {
		if r := h.reportFor(peerDigests[domain], now); r != nil {
			missing = append(missing, r)
		}
	}
	return missing
}

// reportFor returns the report, or only its renewal, for a peer whose digest of the domain is d. It
// returns nil if the peer has the newest renewal.
func (h *storedReport) reportFor(d *rpc.ReportDigest, now time.Time) *rpc.DomainReport {
	remaining := uint64(max(h.deadline.Sub(now), 0).Microseconds())
	if d != nil && compareDigests(h.digest(), d) <= 0 {
		return nil
	}
	peerHasContent := d != nil && TokenFromMessage(d.Token).Compare(h.token) == 0 && d.Version == h.report.Version
	if peerHasContent {
		return &rpc.DomainReport{
			Domain: h.report.Domain, Token: h.report.Token, Version: h.report.Version,
			Beat: h.beat, RemainingMicros: remaining, Unchanged: true, Loads: h.loads,
		}
	}
	r := proto.CloneOf(h.report)
	r.RemainingMicros, r.Beat, r.Loads = remaining, h.beat, h.loads
	return r
}

// Merge adds reports that a peer sent. The remaining times in them count from base. This must be a
// time before the peer computed them, so that deadlines are never too late. It implements
// membership.Reports.
func (c *Catalog) Merge(reports []*rpc.DomainReport, base time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		if r.Domain == "" || r.Token == nil {
			continue
		}
		c.put(r, base.Add(time.Duration(r.RemainingMicros)*time.Microsecond))
	}
	c.rebuild()
}

// put adds a report if it is newer than the current one of its domain.
func (c *Catalog) put(r *rpc.DomainReport, deadline time.Time) {
	h, ok := c.domains[r.Domain]
	received := &rpc.ReportDigest{Domain: r.Domain, Token: r.Token, Version: r.Version, Beat: r.Beat}
	if ok && compareDigests(received, h.digest()) <= 0 {
		return
	}
	if r.Unchanged {
		if !ok || compareContent(received, h.digest()) != 0 {
			return
		}
		r, h = h.report, &storedReport{beat: r.Beat, loads: r.Loads}
	} else {
		h = &storedReport{beat: r.Beat, loads: r.Loads}
	}
	h.report, h.token, h.deadline = r, TokenFromMessage(r.Token), deadline
	h.removeAt = deadline.Add(expiredReportRetention)
	c.domains[r.Domain] = h
	c.isStale = true
}

// rebuild derives the replicas by deployment if the reports have changed. It also removes reports
// whose retention has ended.
func (c *Catalog) rebuild() {
	if !c.isStale {
		return
	}
	c.isStale = false
	now := time.Now()
	c.replicas = make(map[string][]Replica)
	for domain, h := range c.domains {
		if now.After(h.removeAt) {
			delete(c.domains, domain)
			continue
		}
		for _, r := range h.replicas() {
			c.replicas[r.Deployment()] = append(c.replicas[r.Deployment()], r)
		}
	}
	for _, replicas := range c.replicas {
		slices.SortFunc(replicas, func(a, b Replica) int { return strings.Compare(a.ID(), b.ID()) })
	}
}

// replicas returns the replicas of the report, with their newest loads.
func (h *storedReport) replicas() []Replica {
	all := make([]Replica, 0, len(h.report.Replicas))
	for i, r := range h.report.Replicas {
		all = append(all, Replica{
			domain: h.report.Domain, dataHall: h.report.DataHall, deadline: h.deadline,
			report: r, load: loadOf(h.loads, i),
		})
	}
	return all
}

// valuesPerLoad is the number of values that encode the load of one replica in a report.
const valuesPerLoad = 3

// loadOf returns the load of the replica with the given index in the report.
func loadOf(loads []uint32, index int) Load {
	first := index * valuesPerLoad
	if first+valuesPerLoad > len(loads) {
		return Load{}
	}
	return Load{queue: int(loads[first]), active: int(loads[first+1]), slots: int(loads[first+2])}
}

// TokenFromMessage returns the token in a message; nil means the lowest token.
func TokenFromMessage(m *rpc.Token) token.Token {
	return token.Token{Epoch: m.GetEpoch(), Rank: m.GetRank(), Sequence: m.GetSequence()}
}

// TokenToMessage returns the message for a token.
func TokenToMessage(t token.Token) *rpc.Token {
	return &rpc.Token{Epoch: t.Epoch, Rank: t.Rank, Sequence: t.Sequence}
}

func compareDigests(a, b *rpc.ReportDigest) int {
	return cmp.Or(compareContent(a, b), cmp.Compare(a.Beat, b.Beat))
}

func compareContent(a, b *rpc.ReportDigest) int {
	return cmp.Or(
		TokenFromMessage(a.Token).Compare(TokenFromMessage(b.Token)),
		cmp.Compare(a.Version, b.Version),
	)
}

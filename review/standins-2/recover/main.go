// Command recover shows what becomes of sound requests after a final fault beside crashes of a few
// workers. It starts the daemons of a small deployment before stand-ins of the store and of the model
// workers, kills all daemons, starts them again, and crashes single heads of replicas one after the
// other while the streams of the callers that came back are under way.
//
// It exits with 1 if the rule RECOVER was broken, with 0 if it held, and with 2 if the case could not
// run.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quartzshelf.dev/platform/standin"
)

// The sizes and times of the deployment kayal-pay.
const (
	daemonCount      = 9
	zoneCount        = 3
	workerCount      = 60
	workersPerDomain = 10
	slots            = 17
	service          = "quartz-pool"
	host             = "collect.example"
	tenantCount      = 10
	// largeTenants of the tenants send largeShare of the requests.
	largeTenants = 3
	largeShare   = 0.9
	// eventInterval is the time of an event of five tokens: steps of 7.8 ms and more (1 ms for ten
	// streams), and the prompts that are read between them.
	eventInterval = 50 * time.Millisecond
	recoverTime   = 12 * time.Second
	// downTime is how long the daemons are down at the final fault.
	downTime = 600 * time.Millisecond
	// workerDownTime is how long a crashed worker is down.
	workerDownTime = 4500 * time.Millisecond
	// crashCount workers crash, one each crashInterval, from the first streams after the return on.
	crashCount    = 4
	crashInterval = 175 * time.Millisecond
	// maxRounds is how often all daemons are killed and workers crash until the store has acknowledged a
	// record of the daemons, roundTime the time to the next round.
	maxRounds = 3
	roundTime = 6 * time.Second
	// calmTime is how long requests are sent before the final fault, judgedTime how long after recoverTime.
	calmTime     = 8 * time.Second
	judgedTime   = 8 * time.Second
	startTimeout = 30 * time.Second
	// maxRunTime is when the script gives up.
	maxRunTime = 115 * time.Second
)

// kind is a kind of request of the deployment's sheet.
type kind struct {
	name                 string
	perSecond            float64
	prompt, events       int
	objective, gapTarget int
	deadline             time.Duration
}

var kinds = []kind{
	{"bill-explain", 21.9, 1420, 34, 400, 300, 8 * time.Second},
	{"arrears-draft", 120, 674, 35, 300, 200, 6 * time.Second},
	{"scan-read", 20.9, 1960, 5, 500, 300, 6 * time.Second},
}

var models = []standin.Model{{Name: "big", Size: 4, Share: 0.5}, {Name: "small", Size: 2, Share: 0.5}}

var timing = standin.Timing{
	Heartbeat: 1200 * time.Millisecond, LoadDuration: 14 * time.Second, WarmLoadDuration: 1350 * time.Millisecond, RejoinDuration: 200 * time.Millisecond,
	OpenDuration: 300 * time.Millisecond, StallTimeout: 6 * time.Second, Drain: 2 * time.Second, ReportLag: 200 * time.Millisecond,
	EventInterval: eventInterval, RequestDuration: 30 * time.Millisecond,
}

var loadLimit = standin.LoadLimit{PerSecond: 5, Window: 5 * time.Second, RateFactor: 1.1, Extra: 3}

// closing is set once no daemon may be started any more.
var closing atomic.Bool

var errNotRun = errors.New("the case could not run")

func main() {
	broken, err := run()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// bench holds the stand-ins and the daemons.
type bench struct {
	dir string
	// ip is the loopback address of the daemons, of this run alone.
	ip      string
	store   *standin.Store
	ledger  *standin.Ledger
	fabric  *standin.Fabric
	daemons []*daemon
	// reserved holds the ports of the daemons until all are chosen.
	reserved []net.Listener
	// acknowledged receives when the store has acknowledged a record of marksTopic.
	acknowledged chan struct{}

	mu      sync.Mutex
	record  *os.File
	results []result
	started int
	// streams counts the streams that callers receive, by the worker that signed them.
	streams map[string]int
}

// result is what a client got for a request.
type result struct {
	sentAt time.Time
	kind   string
	served bool
	answer string
	// isFirst reports whether it is the first try of its caller.
	isFirst bool
}

// daemon is a daemon of the system.
type daemon struct {
	name, front, ready, settings string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func run() (broken bool, err error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return false, err
	}
	defer func() { _ = record.Close() }()
	b := &bench{dir: dir, ip: fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), rand.IntN(250)), record: record, store: standin.NewStore(), ledger: standin.NewLedger(), acknowledged: make(chan struct{}, 1), streams: make(map[string]int)}
	defer b.stop()
	go b.endEarly()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := b.start(ctx); err != nil {
		return false, err
	}
	return b.play(os.Getenv("TROUBLE") != "0")
}

// note writes a line into the record.
func (b *bench) note(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, time.Now().Format("15:04:05.000 ")+format+"\n", values...)
}

// start starts the stand-ins and the daemons, and waits until the daemons are ready and replicas are
// open.
func (b *bench) start(ctx context.Context) error {
	b.publish()
	b.fabric = standin.NewFabric(standin.FabricOptions{
		Store: b.store, Ledger: b.ledger, Timing: timing, Models: models, LoadLimit: loadLimit,
		NoFaultSince: func() (time.Time, bool) { return time.Time{}, false },
	})
	for i := range workerCount {
		if err := b.startWorker(i); err != nil {
			return err
		}
	}
	go b.fabric.Run(ctx)
	store := httptest.NewServer(http.HandlerFunc(b.serveStore))
	for i := range daemonCount {
		if err := b.prepareDaemon(i, store.Listener.Addr().String()); err != nil {
			return err
		}
	}
	for _, l := range b.reserved {
		_ = l.Close()
	}
	for _, d := range b.daemons {
		if err := d.start(b.dir); err != nil {
			return err
		}
	}
	until := time.Now().Add(startTimeout)
	for time.Now().Before(until) {
		open := 0
		for _, n := range b.fabric.CompleteOpenGroups() {
			open += n
		}
		if b.countReady() == daemonCount && open >= workerCount/4 {
			time.Sleep(time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: %d daemons ready, groups %v", errNotRun, b.countReady(), b.fabric.CompleteOpenGroups())
}

// marksTopic is where daemons keep what they refuse until a time.
const marksTopic = "keyed.quartzshelf-quarantine"

// serveStore serves the store, and tells when it has acknowledged a record of marksTopic.
func (b *bench) serveStore(w http.ResponseWriter, r *http.Request) {
	b.store.ServeHTTP(w, r)
	if r.Method != http.MethodPost || r.URL.Query().Get("topic") != marksTopic {
		return
	}
	b.note("the store acknowledges a record of %s", marksTopic)
	select {
	case b.acknowledged <- struct{}{}:
	default:
	}
}

// startWorker starts a worker at a place of the fabric, under a new ID.
func (b *bench) startWorker(place int) error {
	b.mu.Lock()
	b.started++
	id := fmt.Sprintf("i-%04d", b.started)
	b.mu.Unlock()
	domain := place / workersPerDomain
	_, err := b.fabric.StartWorker("127.0.0.1", standin.WorkerSpec{
		ID: id, Service: service, Zone: zoneName(domain), Domain: fmt.Sprintf("domain-%d", domain), Slots: slots,
	}, nil)
	return err
}

func zoneName(i int) string { return []string{"kakkanad", "edappally", "vyttila"}[i%zoneCount] }

func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }

func keyOf(tenant int) string { return fmt.Sprintf("key-of-tenant-%d", tenant) }

// publish writes the configuration.
func (b *bench) publish() {
	var routes, tenants, engineModels []any
	for _, k := range kinds {
		routes = append(routes, map[string]any{
			"name": k.name, "host": host, "path_prefix": "/" + k.name + "/", "kind": "stream", "timeout_ms": k.deadline.Milliseconds(), "slo_ms": k.objective,
			"attempts": 2, "priority": 1, "public": true, "sticky": true, "resumable": true, "gap_target_ms": k.gapTarget, "backend": service,
		})
	}
	for i := range tenantCount {
		tenants = append(tenants, map[string]any{"name": tenantName(i), "api_keys": []string{keyOf(i)}, "priority": 1})
	}
	for _, m := range models {
		engineModels = append(engineModels, map[string]any{"name": m.Name, "size": m.Size, "share": m.Share, "pace": 1, "load_s": timing.LoadDuration.Seconds(), "warm_s": timing.WarmLoadDuration.Seconds()})
	}
	config := map[string]any{
		"version": 3, "routes": routes, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"backends": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 378, "engine": map[string]any{
			"slots": slots, "kv_capacity": 1860000, "stride": 5, "models": engineModels, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096,
			"read_per_s": 45900, "chunk": 2048, "report_lag_ms": 200, "loads_per_s": loadLimit.PerSecond, "loads_at_once": 7, "form_ms": 300, "keeps": 1, "far_x": 4,
			"usual": map[string]any{"prompt": 979, "answer": 154},
		}}},
	}
	data, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	b.store.Put(standin.TopicOperator, standin.ConfigKey, data)
}

// prepareDaemon writes the settings of a daemon.
func (b *bench) prepareDaemon(i int, store string) error {
	var ports []int
	for range 4 {
		l, err := net.Listen("tcp", net.JoinHostPort(b.ip, "0"))
		if err != nil {
			return err
		}
		b.reserved = append(b.reserved, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	name := fmt.Sprintf("front-%s-%d", zoneName(i/zoneCount), i%zoneCount+1)
	at := func(n int) string { return net.JoinHostPort(b.ip, strconv.Itoa(ports[n])) }
	d := &daemon{name: name, front: at(0), ready: at(1)}
	d.settings = fmt.Sprintf(`node = %q
role = "daemon"
machine_class = "front"
serves = ["front", "directory"]
ip = %q
zone = %q
region = "kochi"
port_range = [%d, %d]
heartbeat_ms = %d
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
kakkanad = "kochi"
edappally = "kochi"
vyttila = "kochi"
[listen]
front = %q
ready = %q
directory = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget = 0.2
budget_window_s = 10
budget_extra = 109
recover_s = 12
stall_ms = 6000
require_fence = true
ceiling_window_s = 5
ceiling_over = 1.1
ttl_max_s = 5
[provider]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 24
record_bytes = 262144
`, name, b.ip, zoneName(i/zoneCount), ports[3], ports[3], timing.Heartbeat.Milliseconds(), at(0), at(1), at(2), store)
	b.daemons = append(b.daemons, d)
	return nil
}

// start starts the daemon with the command of the deploy file.
func (d *daemon) start(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if closing.Load() {
		return errNotRun
	}
	isFirst := d.command == nil
	file := filepath.Join(dir, d.name+".toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf("bootstrap = %t\n", isFirst)+d.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/quartzshelf-platform")
	command.Dir = os.Getenv("ROOT")
	command.Env = append(os.Environ(), standin.SettingsVariable+"="+file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	d.command, d.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(d.exited)
	return nil
}

// kill ends the daemon without notice.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(syscall.SIGKILL)
		<-d.exited
	}
}

// endEarly ends the daemons and the script with 2 when it is interrupted, or takes too long.
func (b *bench) endEarly() {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-interrupts:
	case <-time.After(maxRunTime):
	}
	closing.Store(true)
	b.stop()
	_ = os.RemoveAll(b.dir)
	fmt.Fprintln(os.Stderr, errNotRun, "in time")
	os.Exit(2)
}

func (b *bench) stop() {
	for _, d := range b.daemons {
		d.kill()
	}
}

// countReady returns how many daemons answer the platform's check.
func (b *bench) countReady() int {
	ready := 0
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range b.daemons {
		if response, err := client.Get("http://" + d.ready + "/api/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
	}
	return ready
}

// play sends requests, strikes, and judges.
func (b *bench) play(hasTrouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, k := range kinds {
		clients.Go(func() { b.send(ctx, k, &clients) })
	}
	time.Sleep(calmTime)
	faultAt := time.Now()
	returnedAt := faultAt
	if hasTrouble {
		if faultAt, returnedAt, err = b.strike(); err != nil {
			cancel()
			return false, err
		}
	}
	time.Sleep(time.Until(returnedAt.Add(recoverTime + judgedTime)))
	cancel()
	clients.Wait()
	return b.judge(faultAt, returnedAt)
}

// strike kills all daemons and starts them again, and crashes single heads of replicas while the callers'
// first streams are under way, up to maxRounds times. The final fault comes directly after the store has
// acknowledged a record of the daemons. It returns when it came and when the machines had returned.
func (b *bench) strike() (faultAt, returnedAt time.Time, err error) {
	for range maxRounds {
		if err := b.restartAll("mid-day: all daemons are killed at once"); err != nil {
			return faultAt, returnedAt, err
		}
		for since := time.Now(); b.countReady() == 0 && time.Since(since) < 5*time.Second; {
			time.Sleep(10 * time.Millisecond)
		}
		b.note("the first daemon is ready")
		for range crashCount {
			b.crashHead()
			time.Sleep(crashInterval)
		}
		select {
		case <-b.acknowledged:
			faultAt = time.Now()
			err = b.restartAll("final fault: all daemons are killed")
			return faultAt, time.Now(), err
		case <-time.After(roundTime):
		}
	}
	faultAt = time.Now()
	err = b.restartAll("final fault: all daemons are killed")
	return faultAt, time.Now(), err
}

// restartAll kills all daemons and starts them again after downTime.
func (b *bench) restartAll(why string) error {
	b.note("%s", why)
	for _, d := range b.daemons {
		_ = d.command.Process.Signal(syscall.SIGKILL)
	}
	for _, d := range b.daemons {
		d.kill()
	}
	time.Sleep(downTime)
	for _, d := range b.daemons {
		if err := d.start(b.dir); err != nil {
			return err
		}
	}
	b.note("all daemons have started again")
	return nil
}

// crashHead crashes the worker that sends the most streams. It comes back under a new ID.
func (b *bench) crashHead() {
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		w := b.busiest()
		if w == nil {
			continue
		}
		place, _ := strconv.Atoi(strings.TrimPrefix(w.Spec().Domain, "domain-"))
		w.Crash()
		b.note("worker %s crashes", w.ID())
		time.AfterFunc(workerDownTime, func() { _ = b.startWorker(place * workersPerDomain) })
		return
	}
}

// busiest returns the worker that sends the most streams, nil if none sends any.
func (b *bench) busiest() *standin.Worker {
	workers := b.fabric.RequestTargets()
	b.mu.Lock()
	defer b.mu.Unlock()
	var found *standin.Worker
	most := 0
	for _, w := range workers {
		if n := b.streams[w.ID()]; n > most {
			found, most = w, n
		}
	}
	return found
}

// count adds to the number of streams from a worker.
func (b *bench) count(signature string, n int) {
	worker, _, _ := strings.Cut(signature, ".")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams[worker] += n
}

// send sends the requests of a kind until ctx ends.
func (b *bench) send(ctx context.Context, k kind, clients *sync.WaitGroup) {
	interval := time.Duration(float64(time.Second) / k.perSecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			id := fmt.Sprintf("%s-%d", k.name, n)
			clients.Go(func() { b.askTwice(k, id) })
		}
	}
}

// askTwice sends a request, and once more if that fails with any answer but a 2xx, or with none.
func (b *bench) askTwice(k kind, id string) {
	tenant := largeTenants + rand.IntN(tenantCount-largeTenants)
	if rand.Float64() < largeShare {
		tenant = rand.IntN(largeTenants)
	}
	until := time.Now().Add(k.deadline)
	for try := range 2 {
		mayRetry, wait := b.ask(k, fmt.Sprintf("%s-%d", id, try), tenant, time.Until(until))
		if !mayRetry || try > 0 {
			return
		}
		// Callers honour Retry-After up to a third of the time that they have left.
		time.Sleep(min(wait, time.Until(until)/3))
	}
}

// ask sends a request to a random daemon. It returns whether the client may try again, and after how long.
func (b *bench) ask(k kind, id string, tenant int, left time.Duration) (mayRetry bool, wait time.Duration) {
	d := b.daemons[rand.IntN(len(b.daemons))]
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s/%d", d.front, k.name, k.events), strings.NewReader(id))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set(standin.HeaderAttemptID, id)
	request.Header.Set(standin.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set(standin.HeaderKey, keyOf(tenant))
	request.Header.Set(standin.HeaderModel, models[rand.IntN(len(models))].Name)
	request.Header.Set(standin.HeaderUsage, fmt.Sprintf("%d,%d", k.prompt+40, 5*k.events))
	request.Header.Set(standin.HeaderPrefix, fmt.Sprintf("%x:40,%x:%d", k.name, id, k.prompt))
	b.ledger.RecordSent(id, standin.Stream, "", standin.Sender{Daemon: d.name, At: time.Now()})
	r := result{sentAt: time.Now(), kind: k.name, isFirst: strings.HasSuffix(id, "-0")}
	mayRetry = true
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	wait = 100 * time.Millisecond
	switch {
	case err != nil:
		r.answer = "no answer"
	default:
		defer func() { _ = response.Body.Close() }()
		r.answer = strconv.Itoa(response.StatusCode)
		if response.StatusCode == http.StatusOK {
			mayRetry = false
			signature := response.Header.Get(standin.HeaderSignature)
			b.count(signature, 1)
			events, readErr := countEvents(response.Body)
			b.count(signature, -1)
			r.served = readErr == nil && events == k.events && signature != ""
		} else {
			body, _ := io.ReadAll(response.Body)
			r.answer += " " + string(body)
			if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
				wait = time.Duration(seconds * float64(time.Second))
			}
		}
	}
	b.mu.Lock()
	b.results = append(b.results, r)
	b.mu.Unlock()
	b.note("%s of %s sent %s to %s: %s, whole %t", id, tenantName(tenant), r.sentAt.Format("15:04:05.000"), d.name, r.answer, r.served)
	return mayRetry, wait
}

// countEvents reads a stream to its end and returns the number of its events.
func countEvents(body io.Reader) (int, error) {
	events := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return events, lines.Err()
}

// judge checks the rule: of the requests sent more than recover_s after the machines are back a quarter or
// more is served, if a quarter or more was before the final fault.
func (b *bench) judge(faultAt, returnedAt time.Time) (broken bool, err error) {
	b.mu.Lock()
	results := b.results
	b.mu.Unlock()
	var before, after, servedBefore, servedAfter, firstTries, servedFirst int
	refusals := make(map[string]int)
	for _, r := range results {
		switch {
		case r.sentAt.Before(faultAt):
			before++
			if r.served {
				servedBefore++
			}
		case r.sentAt.After(returnedAt.Add(recoverTime)):
			after++
			if r.isFirst {
				firstTries++
				if r.served {
					servedFirst++
				}
			}
			if r.served {
				servedAfter++
			} else {
				refusals[r.answer]++
			}
		}
	}
	b.note("before the final fault %d of %d requests were served, %d of %d that were sent more than %s after the return", servedBefore, before, servedAfter, after, recoverTime)
	b.note("of the latter, first tries alone: %d of %d", servedFirst, firstTries)
	for answer, n := range refusals {
		b.note("%d times: %s", n, answer)
	}
	fmt.Printf("before %d/%d, after %d/%d, first tries alone %d/%d, %v\n", servedBefore, before, servedAfter, after, servedFirst, firstTries, refusals)
	if servedBefore*4 < before || before == 0 || after == 0 {
		return false, fmt.Errorf("%w: too few requests served before the fault", errNotRun)
	}
	return servedAfter*4 < after, nil
}

// Package telemetry holds the metrics of a daemon and serves them in the text format of
// Prometheus. It also writes log lines at a bounded rate.
package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"quartzshelf.dev/common/reason"
)

// Meter holds the metrics of one daemon. It is safe for concurrent use.
type Meter struct {
	refusals map[reason.Reason]*atomic.Int64
	retries  map[reason.Reason]*atomic.Int64
	late     map[reason.Reason]*atomic.Int64
	// passedOver counts, for each reason, the choices of a replica in which at least one replica
	// was passed over for that reason.
	passedOver    map[reason.Reason]*atomic.Int64
	requests      atomic.Int64
	firstToken    metric.Float64Histogram
	betweenTokens metric.Float64Histogram
	orders        metric.Int64Counter
	// warmUpRequests counts requests to workers that warm up, by whether the limit on such requests
	// had room.
	warmUpRequests metric.Int64Counter
	// quarantine counts events of requests that were at a worker when it crashed.
	quarantine metric.Int64Counter
	// suspensions counts how often the machine was suspended.
	suspensions metric.Int64Counter
	// workerSignals counts what workers asked for in their answers, such as a limit on requests,
	// and values that could not be parsed.
	workerSignals metric.Int64Counter
	// brokenAttempts counts attempts whose connection the worker closed early.
	brokenAttempts metric.Int64Counter
	// connections counts the connections used for requests to workers, opened or reused.
	connections metric.Int64Counter
	// failedConnects counts failed attempts to open a connection to a worker.
	failedConnects metric.Int64Counter
	// stalls counts the replicas that fell silent, and those that sent events again.
	stalls metric.Int64Counter
	// hedges counts the attempts that were started beside silent ones.
	hedges metric.Int64Counter
	// forwards counts attempts that were forwarded to peers.
	forwards metric.Int64Counter
	// datagrams and datagramBytes count the datagrams sent to peers and their bytes.
	datagrams     metric.Int64Counter
	datagramBytes metric.Int64Counter
	// ignoredDatagrams counts datagrams from peers that could not be decoded or used.
	ignoredDatagrams metric.Int64Counter
	handler          http.Handler

	mu     sync.Mutex
	gauges map[string]func() float64
	// storeCalls returns the number of calls to the store so far, by purpose. It is nil
	// until ExportStoreCalls is called.
	storeCalls func() map[string]int64
	// daemons returns the number of live daemons, by build. It is nil until ExportDaemons
	// is called.
	daemons func() map[Build]int64
	// retryBudgets returns the daemon's shares of the retry budgets. It is nil until
	// ExportRetryBudgets is called.
	retryBudgets func() []RetryBudget
}

// RetryBudget is the daemon's share of a service's retry budget in the current window.
type RetryBudget struct {
	Service string
	// Allowed and Used are numbers of retries.
	Allowed, Used float64
	// Share is the share of the part that does not depend on requests, from 0 to 1.
	Share float64
}

// Build identifies the source that a daemon was built from and the version of the message
// format that it uses.
type Build struct {
	Source, Format string
}

// NewMeter returns a meter with a counter for each reason, initially zero. It returns an
// error if a metric can't be registered.
func NewMeter() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("start metrics exporter: %w", err)
	}
	m := &Meter{
		refusals:   newCounters(reason.Refusals()),
		retries:    newCounters(reason.Retries()),
		late:       newCounters(reason.Lateness()),
		passedOver: newCounters(reason.PassedOver()),
		handler:    promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		gauges:     make(map[string]func() float64),
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("quartzshelf")
	if err := m.register(meter); err != nil {
		return nil, fmt.Errorf("register metrics: %w", err)
	}
	return m, nil
}

func newCounters(reasons []reason.Reason) map[reason.Reason]*atomic.Int64 {
	all := make(map[reason.Reason]*atomic.Int64, len(reasons))
	for _, r := range reasons {
		all[r] = &atomic.Int64{}
	}
	return all
}

func (m *Meter) register(meter metric.Meter) error {
	if err := exportCounters(meter, "quartzshelf_refusals", "Requests refused or failed, by reason.", m.refusals); err != nil {
		return err
	}
	if err := exportCounters(meter, "quartzshelf_retries", "Requests sent again, by reason.", m.retries); err != nil {
		return err
	}
	if err := exportCounters(meter, "quartzshelf_late", "Streams that were late, by reason.", m.late); err != nil {
		return err
	}
	if err := exportCounters(meter, "quartzshelf_passed_over", "Choices of a replica in which some were passed over, by reason.", m.passedOver); err != nil {
		return err
	}
	_, err := meter.Int64ObservableCounter("quartzshelf_requests",
		metric.WithDescription("Requests received from callers."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(m.requests.Load())
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("quartzshelf_state",
		metric.WithDescription("State of the daemon, by name."),
		metric.WithFloat64Callback(m.observeGauges))
	if err != nil {
		return err
	}
	buckets := metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.074, 0.1, 0.2, 0.36, 0.5, 1, 2, 5, 10)
	for _, register := range []func(metric.Meter) error{m.registerCounters, m.registerStoreCalls, m.registerDaemons, m.registerRetryBudgets} {
		if err := register(meter); err != nil {
			return err
		}
	}
	m.firstToken, err = meter.Float64Histogram("quartzshelf_first_token_seconds",
		metric.WithDescription("Time from a request to the first token."), buckets)
	if err != nil {
		return err
	}
	m.betweenTokens, err = meter.Float64Histogram("quartzshelf_between_tokens_seconds",
		metric.WithDescription("Time between two tokens of an answer."), buckets)
	return err
}

// exportCounters registers a set of counters as one metric, labelled by reason.
func exportCounters(meter metric.Meter, name, description string, counters map[reason.Reason]*atomic.Int64) error {
	_, err := meter.Int64ObservableCounter(name,
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for r, counter := range counters {
				o.Observe(counter.Load(), metric.WithAttributes(attribute.String("reason", string(r))))
			}
			return nil
		}))
	return err
}

func (m *Meter) observeGauges(_ context.Context, o metric.Float64Observer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, read := range m.gauges {
		o.Observe(read(), metric.WithAttributes(attribute.String("name", name)))
	}
	return nil
}

// ExportGauge exports the result of read as the gauge quartzshelf_state with the given name as
// its label. The meter calls read whenever the metrics are collected.
func (m *Meter) ExportGauge(name string, read func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = read
}

// CountRequest counts a request received.
func (m *Meter) CountRequest() { m.requests.Add(1) }

// CountRefusal counts a refusal; reasons outside reason.Refusals are not counted.
func (m *Meter) CountRefusal(r reason.Reason) { increment(m.refusals, r) }

// CountRetry counts a retry; reasons outside reason.Retries are not counted.
func (m *Meter) CountRetry(r reason.Reason) { increment(m.retries, r) }

// CountLateStream counts a late stream; reasons outside reason.Lateness are not counted.
func (m *Meter) CountLateStream(r reason.Reason) { increment(m.late, r) }

// CountPassOver counts a choice of a replica in which other replicas were passed over for a reason.
// Reasons outside reason.PassedOver are not counted.
func (m *Meter) CountPassOver(r reason.Reason) { increment(m.passedOver, r) }

func increment(counters map[reason.Reason]*atomic.Int64, r reason.Reason) {
	if counter, ok := counters[r]; ok {
		counter.Add(1)
	}
}

// CountOrder counts a command sent to a worker, by the kind of command and its outcome.
func (m *Meter) CountOrder(order, outcome string) {
	m.orders.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("order", order), attribute.String("outcome", outcome)))
}

// CountWarmUp counts a request to a worker that warms up. The outcome is whether the limit on such
// requests had room.
func (m *Meter) CountWarmUp(outcome string) {
	m.warmUpRequests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// CountQuarantineEvent counts an event of a request that was at a worker when it crashed. The
// request was blamed for the crash or quarantined, or its quarantine was cleared or lifted.
func (m *Meter) CountQuarantineEvent(event string) {
	m.quarantine.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// CountSuspension counts a suspension of the machine; its duration is not used.
func (m *Meter) CountSuspension(time.Duration) { m.suspensions.Add(context.Background(), 1) }

// CountWorkerSignal counts what a worker asked for in an answer, such as a limit on requests or a
// pause. The event names what was asked for, or states that the value could not be parsed.
func (m *Meter) CountWorkerSignal(event string) {
	m.workerSignals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// CountBrokenAttempt counts an attempt whose connection a worker of the service closed early.
func (m *Meter) CountBrokenAttempt(service string) {
	m.brokenAttempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// CountConnection counts the use of a connection to a worker of the service for a request.
// The connection was either reused or opened for the request.
func (m *Meter) CountConnection(service string, reused bool) {
	use := "opened"
	if reused {
		use = "reused"
	}
	m.connections.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("service", service), attribute.String("use", use)))
}

// CountFailedConnect counts a failed attempt to open a connection to a worker of the service, by
// cause.
func (m *Meter) CountFailedConnect(service, cause string) {
	m.failedConnects.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("service", service), attribute.String("cause", cause)))
}

// Events of stalls.
const (
	// StallBegan means that a replica sent no event for so long that it is suspected.
	StallBegan = "began"
	// StallEnded means that a replica that had been silent sent an event again.
	StallEnded = "ended"
)

// CountStall counts an event of a stall, StallBegan or StallEnded.
func (m *Meter) CountStall(event string) {
	m.stalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// Outcomes of hedges.
const (
	// HedgeUsed means that the stream goes on with the hedge.
	HedgeUsed = "used"
	// HedgeDropped means that the silent attempt went on, or that the request ended.
	HedgeDropped = "dropped"
	// HedgeFailed means that the hedge failed while the attempt was silent.
	HedgeFailed = "failed"
)

// CountHedge counts an attempt that was started beside a silent one, by outcome.
func (m *Meter) CountHedge(outcome string) {
	m.hedges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// CountForward counts an attempt that was forwarded to a peer, by outcome.
func (m *Meter) CountForward(outcome string) {
	m.forwards.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// registerCounters registers the counters whose label values are not fixed in advance.
func (m *Meter) registerCounters(meter metric.Meter) error {
	counters := map[*metric.Int64Counter]struct{ name, description string }{
		&m.orders:           {"quartzshelf_orders", "Orders given to workers, by order and outcome."},
		&m.warmUpRequests:   {"quartzshelf_warm_up", "Requests to workers that warm up, by whether the allowance had room."},
		&m.quarantine:       {"quartzshelf_quarantine", "Requests that were at a worker when it ended, and their quarantine, by event."},
		&m.suspensions:      {"quartzshelf_suspensions", "Times that the machine was suspended."},
		&m.workerSignals:    {"quartzshelf_worker_signals", "What workers asked for in their answers, by event: new, changed, dropped or not understood."},
		&m.brokenAttempts:   {"quartzshelf_attempts_broken", "Attempts whose connection the worker ended within, by service."},
		&m.connections:      {"quartzshelf_connections", "Connections that carried requests to workers, by service, opened or reused."},
		&m.failedConnects:   {"quartzshelf_connects_failed", "Connections to workers that could not be opened, by service and cause."},
		&m.stalls:           {"quartzshelf_stalls", "Replicas that fell silent, and those that sent events again, by event."},
		&m.hedges:           {"quartzshelf_hedges", "Attempts started beside silent ones, by outcome."},
		&m.forwards:         {"quartzshelf_forwards", "Attempts forwarded to peers because this daemon reached no worker, by outcome."},
		&m.datagrams:        {"quartzshelf_datagrams", "Datagrams sent to peers, by kind."},
		&m.datagramBytes:    {"quartzshelf_datagram_bytes", "Bytes of datagrams sent to peers, by kind."},
		&m.ignoredDatagrams: {"quartzshelf_datagrams_passed_over", "Datagrams of peers that were not understood, by cause."},
	}
	for counter, definition := range counters {
		var err error
		if *counter, err = meter.Int64Counter(definition.name, metric.WithDescription(definition.description)); err != nil {
			return err
		}
	}
	return nil
}

// CountDatagram counts a datagram sent to a peer, and its bytes.
func (m *Meter) CountDatagram(kind string, bytes int) {
	attributes := metric.WithAttributes(attribute.String("kind", kind))
	m.datagrams.Add(context.Background(), 1, attributes)
	m.datagramBytes.Add(context.Background(), int64(bytes), attributes)
}

// CountIgnoredDatagram counts a datagram from a peer that could not be decoded or used.
func (m *Meter) CountIgnoredDatagram(cause string) {
	m.ignoredDatagrams.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

func (m *Meter) registerDaemons(meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge("quartzshelf_daemons",
		metric.WithDescription("Daemons that this one hears and itself, by what they were built from and the format that they speak."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			m.mu.Lock()
			read := m.daemons
			m.mu.Unlock()
			if read == nil {
				return nil
			}
			for build, count := range read() {
				o.Observe(count, metric.WithAttributes(attribute.String("build", build.Source), attribute.String("format", build.Format)))
			}
			return nil
		}))
	return err
}

// ExportDaemons exports the number of daemons that read returns for each build. The meter
// calls read whenever the metrics are collected.
func (m *Meter) ExportDaemons(read func() map[Build]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.daemons = read
}

func (m *Meter) registerRetryBudgets(meter metric.Meter) error {
	_, err := meter.Float64ObservableGauge("quartzshelf_retry_budget",
		metric.WithDescription("Share of the retry budget in the current window, by service and name."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			m.mu.Lock()
			read := m.retryBudgets
			m.mu.Unlock()
			if read == nil {
				return nil
			}
			for _, budget := range read() {
				for name, value := range map[string]float64{"allowed": budget.Allowed, "used": budget.Used, "share": budget.Share} {
					o.Observe(value, metric.WithAttributes(attribute.String("service", budget.Service), attribute.String("name", name)))
				}
			}
			return nil
		}))
	return err
}

// ExportRetryBudgets exports the shares that read returns. The meter calls read whenever the
// metrics are collected.
func (m *Meter) ExportRetryBudgets(read func() []RetryBudget) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retryBudgets = read
}

func (m *Meter) registerStoreCalls(meter metric.Meter) error {
	_, err := meter.Int64ObservableCounter("quartzshelf_store_calls",
		metric.WithDescription("Calls to the store, by what they were for."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			m.mu.Lock()
			read := m.storeCalls
			m.mu.Unlock()
			if read == nil {
				return nil
			}
			for purpose, calls := range read() {
				o.Observe(calls, metric.WithAttributes(attribute.String("purpose", purpose)))
			}
			return nil
		}))
	return err
}

// ExportStoreCalls exports the number of calls to the store that read returns for each
// purpose. The meter calls read whenever the metrics are collected.
func (m *Meter) ExportStoreCalls(read func() map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeCalls = read
}

// RecordFirstToken records the time to a first token that arrives now. The parameter start is when
// the request arrived.
func (m *Meter) RecordFirstToken(start time.Time) {
	m.firstToken.Record(context.Background(), time.Since(start).Seconds())
}

// RecordNextToken records the time between the previous token and a token that arrives now. The
// parameter last is when the previous token arrived.
func (m *Meter) RecordNextToken(last time.Time) {
	m.betweenTokens.Record(context.Background(), time.Since(last).Seconds())
}

// Refusals returns the numbers of refusals by reason, without those that are zero.
func (m *Meter) Refusals() map[reason.Reason]int64 { return nonZero(m.refusals) }

// Retries returns the numbers of retries by reason, without those that are zero.
func (m *Meter) Retries() map[reason.Reason]int64 { return nonZero(m.retries) }

// Requests returns how many requests were received so far.
func (m *Meter) Requests() int64 { return m.requests.Load() }

// Handler serves the metrics in the text format of Prometheus.
func (m *Meter) Handler() http.Handler { return m.handler }

func nonZero(counters map[reason.Reason]*atomic.Int64) map[reason.Reason]int64 {
	all := make(map[reason.Reason]int64)
	for r, counter := range counters {
		if n := counter.Load(); n != 0 {
			all[r] = n
		}
	}
	return all
}

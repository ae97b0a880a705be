// Package standin simulates the systems of the platform: the log service, the node list, the weight
// store, model engines and a plain service. Faults can be switched on and off at run time. Tests
// use the simulations within their process, or over HTTP by package server.
package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
)

// Defaults of the options of a log.
const (
	DefaultAppendsPerSecond = 100
	DefaultRetention        = time.Hour
	appendBurst             = 100
)

var (
	errOutage       = errors.New("the log service is out")
	errResponseLost = errors.New("the answer was lost")
	errRateExceeded = errors.New("too many appends")
)

// LogFaults selects the active faults of a log.
type LogFaults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage" yaml:"outage"`
	// LoseResponses makes appends return an error after they have taken effect.
	LoseResponses bool `json:"lose_answers" yaml:"lose_answers"`
	// SlowMillis is the delay of every call in milliseconds.
	SlowMillis int `json:"slow_millis" yaml:"slow_millis"`
}

// LogOptions configures a Log. Zero values select the defaults.
type LogOptions struct {
	// AppendsPerSecond is the maximum rate of appends. The log refuses appends above it.
	AppendsPerSecond float64
	// Retention is the time after which the log drops a record.
	Retention time.Duration
}

// Log is an in-memory log service. It holds any number of streams of records.
type Log struct {
	retention time.Duration
	limiter   *rate.Limiter

	mu          sync.Mutex
	streams     map[string]*logStream
	faults      LogFaults
	appendCount int
}

var _ cluster.Log = (*Log)(nil)

// logStream is one stream of a Log.
type logStream struct {
	// earliestOffset is the offset of the first record in records.
	earliestOffset int64
	records        []cluster.Record
	// changed is closed and replaced after every append.
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog(opts LogOptions) *Log {
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	return &Log{
		retention: opts.Retention,
		limiter:   rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), appendBurst),
		streams:   make(map[string]*logStream),
	}
}

// SetFaults replaces the active faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// AppendCount returns the number of appends that took effect.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}

// Append implements cluster.Log.
func (l *Log) Append(ctx context.Context, stream string, records []cluster.Record) (int64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	if !l.limiter.Allow() {
		return 0, failure.Wrap(failure.Refused, "append to log", stream, errRateExceeded)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getOrCreateStream(stream)
	first := s.nextOffset()
	now := time.Now()
	for i, r := range records {
		r.Offset, r.Time = first+int64(i), now
		s.records = append(s.records, r)
	}
	l.appendCount++
	close(s.changed)
	s.changed = make(chan struct{})
	if l.faults.LoseResponses {
		return 0, failure.Wrap(failure.Unavailable, "append to log", stream, errResponseLost)
	}
	return first, nil
}

// Read implements cluster.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (cluster.Batch, error) {
	if err := l.applyFaults(ctx); err != nil {
		return cluster.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed := l.readAvailable(stream, from, limit)
		if len(batch.Records) > 0 || from < batch.Earliest {
			return batch, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if err := l.checkOutage(); err != nil {
				return cluster.Batch{}, err
			}
			return batch, nil
		case <-ctx.Done():
			return cluster.Batch{}, failure.Wrap(failure.Unavailable, "read log", stream, ctx.Err())
		}
	}
}

// applyFaults delays a call by LogFaults.SlowMillis and returns an error during an outage.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	delay := time.Duration(l.faults.SlowMillis) * time.Millisecond
	l.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return failure.Wrap(failure.Unavailable, "call log", "log", ctx.Err())
		}
	}
	return l.checkOutage()
}

func (l *Log) checkOutage() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return failure.Wrap(failure.Unavailable, "call log", "log", errOutage)
	}
	return nil
}

// readAvailable returns the records that are available from an offset on, at most limit. The
// channel is closed at the next append.
func (l *Log) readAvailable(stream string, from int64, limit int) (cluster.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getOrCreateStream(stream)
	s.expire(time.Now().Add(-l.retention))
	batch := cluster.Batch{Earliest: s.earliestOffset, Next: s.nextOffset()}
	if from >= s.earliestOffset && from < s.nextOffset() {
		available := s.records[from-s.earliestOffset:]
		batch.Records = append(batch.Records, available[:min(limit, len(available))]...)
	}
	return batch, s.changed
}

func (l *Log) getOrCreateStream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) nextOffset() int64 {
	return s.earliestOffset + int64(len(s.records))
}

// expire drops the records that were appended before the given time.
func (s *logStream) expire(before time.Time) {
	n := 0
	for n < len(s.records) && s.records[n].Time.Before(before) {
		n++
	}
	s.earliestOffset += int64(n)
	s.records = s.records[n:]
}

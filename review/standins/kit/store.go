// Package kit holds stand-ins for the reviews' scripts: the platform's metadata store, the
// processes of daemons, and the record of what was sent, answered and run. It uses the standard
// library only.
package kit

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Topics of the platform and the key of the operator's configuration.
const (
	TopicOperator = "keyed.op"
	TopicWorkers  = "keyed.servers"
	ConfigKey     = "config"
)

// maxCallBytes limits the body of an append.
const maxCallBytes = 2 << 20

// Store is the platform's metadata store as far as daemons use it: log-append, log-read and
// log-newest (PROTOCOL.md). It is safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
}

type partition struct {
	records [][]byte
	// appended is closed and replaced with each append.
	appended chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{partitions: make(map[string]*partition)} }

// partition returns a partition, created on first use. The mutex must be held.
func (s *Store) partition(name string) *partition {
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{appended: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) append(record []byte) {
	p.records = append(p.records, record)
	close(p.appended)
	p.appended = make(chan struct{})
}

// Put appends the record of a key in partition 0 of a topic and returns the time of the
// acknowledgement. An empty value removes the key.
func (s *Store) Put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition(topic + "/0").append(append(record, value...))
	return time.Now()
}

// ServeHTTP answers the calls of daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name := query.Get("topic") + "/" + query.Get("part")
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, r, name)
	case "GET /api/log-read":
		s.serveRead(w, r, name)
	case "GET /api/log-newest":
		s.serveNewest(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	if r.URL.Query().Get("topic") == TopicWorkers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	end := len(p.records)
	if at := r.URL.Query().Get("current_rev"); at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	p.append(body[4:])
	writeJSON(w, http.StatusOK, map[string]int{"offset": end, "end": end + 1})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A missing or malformed wait counts as none.
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	defer cancel()
	s.mu.Lock()
	p := s.partition(name)
	for len(p.records) <= from && ctx.Err() == nil {
		appended := p.appended
		s.mu.Unlock()
		select {
		case <-appended:
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range p.records[min(from, len(p.records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	_, _ = w.Write(body)
}

type newestItem struct {
	Key    string `json:"tls_key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	newest := make(map[string]newestItem)
	for offset, record := range p.records {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset}
	}
	items := []newestItem{}
	for key, item := range newest {
		if key > r.URL.Query().Get("since_rev") {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b newestItem) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(p.records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

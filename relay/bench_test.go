package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// eventReader yields one event at each read.
type eventReader struct {
	event []byte
	left  int
}

func (r *eventReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	return copy(p, r.event), nil
}

// BenchmarkEvent measures the daemon's own work for one event of a stream: to
// find its end and id and to hand it on. Connections are left out.
func BenchmarkEvent(b *testing.B) {
	b.ReportAllocs()
	reader := &eventReader{event: []byte("id: 17\ndata: 0123456789012345678901234567890123456789012345678901234567890\n\n"), left: b.N}
	recorder := httptest.NewRecorder()
	recorder.Body = nil
	e := &exchange{response: &http.Response{Body: io.NopCloser(reader), Header: http.Header{}}}
	s := &relayed{w: recorder}
	b.ResetTimer()
	if err := s.copy(e, func(time.Time) {}); err != nil {
		b.Fatal(err)
	}
}

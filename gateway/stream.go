package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fastjson"

	"quartzshelf.dev/common/failure"
)

const (
	// stallTimeout is how long an engine may be silent within a stream.
	stallTimeout = 15 * time.Second
	// maxEvent bounds one server-sent event, in bytes.
	maxEvent = 1 << 20
)

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")

	errCut   = errors.New("the stream ended before its last event")
	errGap   = errors.New("a token is missing in the stream")
	errEvent = errors.New("the stream has an event that is no token")
)

// tokenEvent is the part of an event of an engine that is checked.
type tokenEvent struct {
	id    string
	index int
	text  string
}

// parseEvent reads an event. What it returns does not outlive the parser's next
// use, but for the text.
func parseEvent(p *fastjson.Parser, data []byte) (tokenEvent, error) {
	v, err := p.ParseBytes(data)
	if err != nil || !v.Exists("token_index") {
		return tokenEvent{}, errEvent
	}
	text := v.GetStringBytes("choices", "0", "text")
	if text == nil {
		text = v.GetStringBytes("choices", "0", "delta", "content")
	}
	return tokenEvent{id: string(v.GetStringBytes("id")), index: v.GetInt("token_index"), text: string(text)}, nil
}

// stream reads the events of one attempt and checks that they are of this
// request, in order and without gaps.
type stream struct {
	attempt *attempt
	reader  *bufio.Reader
	parser  fastjson.Parser
	id      string
	// next is the index of the token that must come next.
	next  int
	stall *time.Timer
}

// newStream reads the attempt's events; the first token has the given index.
// An engine that is silent for too long has its attempt cut off.
func newStream(a *attempt, id string, next int) *stream {
	return &stream{
		attempt: a, reader: bufio.NewReader(a.response.Body), id: id, next: next,
		stall: time.AfterFunc(stallTimeout, a.cancel),
	}
}

// close ends the attempt.
func (s *stream) close() {
	s.stall.Stop()
	s.attempt.close()
}

// read returns the data of the next token event and the token. A nil event
// without an error is the proper end of the stream. Events repeated by the
// engine are passed over.
func (s *stream) read() ([]byte, string, error) {
	for {
		data, err := s.event()
		if err != nil {
			return nil, "", failure.At(failure.Remote, "read stream", s.attempt.target.address, err)
		}
		if bytes.Equal(data, doneMark) {
			return nil, "", nil
		}
		e, err := parseEvent(&s.parser, data)
		if err != nil {
			return nil, "", failure.At(failure.Remote, "read event", s.attempt.target.address, err)
		}
		if e.id != s.id {
			return nil, "", failure.At(failure.Remote, "check event", s.attempt.target.address, errMismatch)
		}
		if e.index < s.next {
			continue
		}
		if e.index > s.next {
			return nil, "", failure.At(failure.Remote, "check event", s.attempt.target.address, errGap)
		}
		s.next++
		return data, e.text, nil
	}
}

// event returns the data of the next server-sent event.
func (s *stream) event() ([]byte, error) {
	s.stall.Reset(stallTimeout)
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return s.longEvent(line, err)
		}
		if data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix); ok {
			return data, nil
		}
	}
}

// longEvent goes on with an event that is longer than the reader's buffer.
func (s *stream) longEvent(begin []byte, err error) ([]byte, error) {
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, errCut
	}
	line := bytes.Clone(begin)
	for errors.Is(err, bufio.ErrBufferFull) {
		var more []byte
		more, err = s.reader.ReadSlice('\n')
		line = append(line, more...)
		if len(line) > maxEvent {
			return nil, fmt.Errorf("an event is longer than %d bytes", maxEvent)
		}
	}
	if err != nil {
		return nil, errCut
	}
	data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
	if !ok {
		return nil, errEvent
	}
	return data, nil
}

// isEventStream reports whether an answer is a stream of server-sent events.
func isEventStream(r *http.Response) bool {
	return bytes.HasPrefix([]byte(r.Header.Get("Content-Type")), []byte("text/event-stream"))
}

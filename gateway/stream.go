package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"github.com/valyala/fastjson"

	"quartzshelf.dev/common/failure"
)

// maxEventBytes limits the size of one server-sent event.
const maxEventBytes = 1 << 20

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")

	errTruncated     = errors.New("the stream ended before its last event")
	errMissingToken  = errors.New("a token is missing in the stream")
	errNotTokenEvent = errors.New("the stream has an event that is no token")
)

// tokenEvent holds the fields that the gateway reads from an engine's event. Each event carries one
// token.
type tokenEvent struct {
	id    string
	index int
	text  string
}

// parseEvent parses the data of a token event.
func parseEvent(p *fastjson.Parser, data []byte) (tokenEvent, error) {
	v, err := p.ParseBytes(data)
	if err != nil || !v.Exists("token_index") {
		return tokenEvent{}, errNotTokenEvent
	}
	text := v.GetStringBytes("choices", "0", "text")
	if text == nil {
		text = v.GetStringBytes("choices", "0", "delta", "content")
	}
	return tokenEvent{id: string(v.GetStringBytes("id")), index: v.GetInt("token_index"), text: string(text)}, nil
}

// tokenReader reads the token events of one attempt. It checks that the events belong to the
// request and that no token is missing.
type tokenReader struct {
	attempt   *attempt
	reader    *bufio.Reader
	parser    fastjson.Parser
	requestID string
	// nextIndex is the index of the next expected token. Events with a lower index are skipped.
	nextIndex int
}

// newTokenReader returns a reader for the attempt's events.
func newTokenReader(a *attempt, requestID string) *tokenReader {
	return &tokenReader{attempt: a, reader: bufio.NewReader(a.response.Body), requestID: requestID}
}

// close closes the attempt.
func (s *tokenReader) close() { s.attempt.close() }

// readToken returns the data of the next token event and the token's text. It returns nil data and
// a nil error at the end-of-stream marker. Tokens with an index below nextIndex are skipped.
func (s *tokenReader) readToken() ([]byte, string, error) {
	for {
		data, err := s.readEvent()
		if err != nil {
			return nil, "", failure.Wrap(failure.Remote, "read stream", s.attempt.target.address, err)
		}
		if bytes.Equal(data, doneMarker) {
			return nil, "", nil
		}
		e, err := parseEvent(&s.parser, data)
		if err != nil {
			return nil, "", failure.Wrap(failure.Remote, "read event", s.attempt.target.address, err)
		}
		if e.id != s.requestID {
			return nil, "", failure.Wrap(failure.Remote, "check event", s.attempt.target.address, errWrongRequest)
		}
		if e.index < s.nextIndex {
			continue
		}
		if e.index > s.nextIndex {
			return nil, "", failure.Wrap(failure.Remote, "check event", s.attempt.target.address, errMissingToken)
		}
		s.nextIndex++
		return data, e.text, nil
	}
}

// readEvent returns the data of the next server-sent event. The data is valid until the next read.
func (s *tokenReader) readEvent() ([]byte, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return s.readLongEvent(line, err)
		}
		if data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix); ok {
			return data, nil
		}
	}
}

// readLongEvent reads the rest of a line that exceeds the reader's buffer and returns the event's
// data. The parameter start holds the part read so far, and err is the error of that read. If err
// is not bufio.ErrBufferFull, readLongEvent returns errTruncated.
func (s *tokenReader) readLongEvent(start []byte, err error) ([]byte, error) {
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, errTruncated
	}
	line := bytes.Clone(start)
	for errors.Is(err, bufio.ErrBufferFull) {
		var more []byte
		more, err = s.reader.ReadSlice('\n')
		line = append(line, more...)
		if len(line) > maxEventBytes {
			return nil, fmt.Errorf("an event is longer than %d bytes", maxEventBytes)
		}
	}
	if err != nil {
		return nil, errTruncated
	}
	data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
	if !ok {
		return nil, errNotTokenEvent
	}
	return data, nil
}

// isEventStream reports whether the answer is a stream of server-sent events.
func isEventStream(r *http.Response) bool {
	return bytes.HasPrefix([]byte(r.Header.Get("Content-Type")), []byte("text/event-stream"))
}

package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// bytesConn is a connection whose peer sends bytes and closes it.
type bytesConn struct {
	net.Conn
	*bytes.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

func (c bytesConn) Write(b []byte) (int, error) { return len(b), nil }

func (c bytesConn) Close() error { return nil }

// readAnswerOf returns the status and the body of the answer that the proxy reads from the bytes.
func readAnswerOf(sent []byte) (status int, body []byte, err error) {
	response, err := newTestConnection(bytesConn{Reader: bytes.NewReader(sent)}).roundTrip(testMessage())
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// FuzzAnswer: what the proxy takes for an answer is one by the grammar, with the same body.
func FuzzAnswer(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt: a\r\n"
	for _, seed := range []string{
		head + "Content-Length: 3\r\n\r\nyes", head + "Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n2;a=b\r\nes\r\n0\r\nField: a\r\n\r\n", head + "\r\nuntil the end",
		"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + head + "Content-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length: 2\r\n\r\nno" + head + "\r\n",
		"HTTP/1.1 000 Odd\r\n\r\n" + head + "\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", head + "Content-Length : 3\r\n\r\nyes",
		head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", head + "Field: a\r\n folded\r\nOdd Field: a\r\n\r\n", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nno",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) { checkByGrammar(t, sent) })
}

// TestAnswersOfAnyParts: the same for bytes that are put together of the parts of answers.
func TestAnswersOfAnyParts(t *testing.T) {
	first := []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.0 200\r\n", "HTTP/1.1 103 Early\r\n", "HTTP/1.1 204 No\r\n", "HTTP/1.1 304 Not\r\n",
		"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 600 Odd\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n", "HTTP/1.1 101 Other\r\n",
	}
	fields := []string{
		"X-Attempt: a\r\n", "X-Attempt: b\r\n", "x-attempt:a\n", "Content-Length: 3\r\n", "Content-Length: 0\r\n", "Content-Length: 4\r\n", "Content-Length:3 \r\n",
		"Content-Length: 03\r\n", "Content-Length: +3\r\n", "Content-Length:\r\n", "Content-Length: 3, 3\r\n", "content-length : 3\r\n", "Transfer-Encoding: chunked\r\n",
		"Transfer-Encoding: Chunked \r\n", "Transfer-Encoding : chunked\r\n", "transfer-encoding: gzip, chunked\r\n", "Trailer: Field\r\n", "Connection: close\r\n", "Field: a\r\n",
		"Odd Field: a\r\n", "Field\x01: a\r\n", "Field: a\x01\r\n", "Field: a\rb\r\n", ": a\r\n", "Field\r\n", " folded\r\n", "\tContent-Length: 3\r\n", "Field: \xff\r\n",
	}
	content := []string{
		"yes", "3\r\nyes\r\n", "3\nyes\n", "3 \r\nyes\r\n", " 3\r\nyes\r\n", "03;a=\"b\"\r\nyes\r\n", "3;\r\nyes\r\n", "+3\r\nyes\r\n", "0x3\r\nyes\r\n", "4\r\nyes\r\n", "2\r\nyes\r\n",
		"0\r\n", "0\r\n\r\n", "0\n\n", "0\r\nField: a\r\n\r\n", "0\r\nOdd Field: a\r\n\r\n", "0\r\nContent-Length: 3\r\n\r\n", "\r\n",
	}
	const answersPerDraw = 50
	read := 0
	rapid.Check(t, func(t *rapid.T) {
		for range answersPerDraw {
			var sent strings.Builder
			for range rapid.IntRange(1, 3).Draw(t, "heads") {
				sent.WriteString(rapid.SampledFrom(first).Draw(t, "first"))
				sent.WriteString(strings.Join(rapid.SliceOfN(rapid.SampledFrom(fields), 0, 4).Draw(t, "fields"), ""))
				sent.WriteString(rapid.SampledFrom([]string{"\r\n", "\r\n", "\n", ""}).Draw(t, "end"))
				sent.WriteString(strings.Join(rapid.SliceOfN(rapid.SampledFrom(content), 0, 3).Draw(t, "content"), ""))
			}
			if checkByGrammar(t, []byte(sent.String())) {
				read++
			}
		}
	})
	assert.Assert(t, read > 0)
	t.Logf("%d answers were read", read)
}

// checkByGrammar checks that what the proxy reads from the bytes is an answer. It reports whether it reads one.
func checkByGrammar(t assert.TestingT, sent []byte) bool {
	status, body, err := readAnswerOf(sent)
	if err != nil {
		return false
	}
	r := &grammarReader{rest: sent}
	wantStatus, wantBody, err := r.answerTo("a")
	assert.NilError(t, err, "the proxy reads status %d and body %q from %q", status, body, sent)
	assert.Equal(t, status, wantStatus)
	assert.Equal(t, string(body), string(wantBody), "%q", sent)
	return true
}

var errGrammar = errors.New("not in the grammar")

var (
	statusLine  = regexp.MustCompile(`^HTTP/1\.[0-9] +([1-5][0-9][0-9])(?: .*)?$`)
	fieldLine   = regexp.MustCompile("(?s)^([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\\x00-\\x08\\x0a-\\x1f\\x7f]*)$")
	chunkLine   = regexp.MustCompile(`(?s)^([0-9A-Fa-f]{1,16})[ \t]*(?:;.*)?$`)
	lengthValue = regexp.MustCompile(`^[0-9]+$`)
)

// grammarReader reads answers by the grammar of RFC 9112. It allows what the proxy does besides: bare line feeds,
// folded values, several blanks before a status, and the same length twice.
type grammarReader struct {
	rest []byte
}

// answerTo returns the answer to a request. One answer to another request may precede it.
func (r *grammarReader) answerTo(attempt string) (status int, body []byte, err error) {
	for range 1 + maxForeignAnswers {
		var fields map[string][]string
		if status, fields, err = r.finalHead(); err != nil {
			return 0, nil, err
		}
		body, err = r.body(status, fields)
		if id := fields["x-attempt"]; err != nil || len(id) == 0 || id[0] == "" || id[0] == attempt {
			return status, body, err
		}
	}
	return 0, nil, errGrammar
}

// finalHead returns the next head that is not one of an interim answer.
func (r *grammarReader) finalHead() (status int, fields map[string][]string, err error) {
	for range 1 + maxInterimAnswers {
		status, fields, err = r.head()
		switch {
		case err != nil || status >= 200:
			return status, fields, err
		case fields["content-length"] != nil || fields["transfer-encoding"] != nil:
			return 0, nil, errGrammar
		}
	}
	return 0, nil, errGrammar
}

// line returns the next line without its end.
func (r *grammarReader) line() (string, error) {
	line, rest, ok := bytes.Cut(r.rest, []byte("\n"))
	if !ok {
		return "", errGrammar
	}
	r.rest = rest
	return string(bytes.TrimSuffix(line, []byte("\r"))), nil
}

// head returns the status and the fields of the next head.
func (r *grammarReader) head() (status int, fields map[string][]string, err error) {
	first, err := r.line()
	if err != nil {
		return 0, nil, err
	}
	match := statusLine.FindStringSubmatch(first)
	if match == nil || match[1] == "101" {
		return 0, nil, errGrammar
	}
	status, err = strconv.Atoi(match[1])
	if err != nil {
		return 0, nil, err
	}
	fields, err = r.fields()
	if fields["transfer-encoding"] != nil && strings.HasPrefix(first, "HTTP/1.0") {
		return 0, nil, errGrammar
	}
	return status, fields, err
}

// fields returns the values of the fields up to the empty line, by their names in lower case.
func (r *grammarReader) fields() (map[string][]string, error) {
	fields, last := make(map[string][]string), ""
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if line == "" {
			return fields, nil
		}
		isFolded := line[0] == ' ' || line[0] == '\t'
		if isFolded {
			// The name does not matter: a folded line continues a value.
			line = "x:" + line
		}
		match := fieldLine.FindStringSubmatch(line)
		if match == nil || isFolded && last == "" {
			return nil, errGrammar
		}
		value := strings.Trim(match[2], " \t")
		if isFolded {
			values := fields[last]
			values[len(values)-1] = strings.Trim(values[len(values)-1]+" "+value, " ")
			continue
		}
		last = strings.ToLower(match[1])
		fields[last] = append(fields[last], value)
	}
}

// body returns the body that the fields frame.
func (r *grammarReader) body(status int, fields map[string][]string) ([]byte, error) {
	lengths, codings := fields["content-length"], fields["transfer-encoding"]
	for _, length := range lengths {
		if length != lengths[0] || !lengthValue.MatchString(length) {
			return nil, errGrammar
		}
	}
	isLong := len(lengths) > 0 && strings.Trim(lengths[0], "0") != ""
	switch {
	case len(codings) > 1 || len(codings) == 1 && (len(lengths) > 0 || !strings.EqualFold(codings[0], "chunked")):
		return nil, errGrammar
	case status == 204 && (isLong || len(codings) > 0):
		return nil, errGrammar
	case status == 204 || status == 304:
		return nil, nil
	case len(codings) == 1:
		return r.chunks()
	case len(lengths) == 0:
		return r.rest, nil
	}
	length, err := strconv.ParseInt(lengths[0], 10, 64)
	if err != nil || length > int64(len(r.rest)) {
		return nil, errGrammar
	}
	body := r.rest[:length]
	r.rest = r.rest[length:]
	return body, nil
}

// chunks returns a body in chunks, and reads its trailer.
func (r *grammarReader) chunks() ([]byte, error) {
	var body []byte
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		match := chunkLine.FindStringSubmatch(line)
		if match == nil {
			return nil, errGrammar
		}
		size, err := strconv.ParseUint(match[1], 16, 64)
		switch {
		case err != nil || size > uint64(len(r.rest)):
			return nil, errGrammar
		case size == 0:
			_, err = r.fields()
			return body, err
		}
		body = append(body, r.rest[:size]...)
		r.rest = r.rest[size:]
		if end, err := r.line(); err != nil || end != "" {
			return nil, errGrammar
		}
	}
}

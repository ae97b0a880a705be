package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"quartzshelf.dev/common/failure"
)

// maxMessageBytes limits the size of an inflated message.
const maxMessageBytes = 1 << 20

// deflateWriters pools writers, which take several hundred kilobytes each.
var deflateWriters = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// inflateReaders pools readers.
var inflateReaders = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// encode returns a message as deflated JSON.
func encode(m *message) ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, failure.Wrap(failure.Invalid, "encode message", m.ID, err)
	}
	var out bytes.Buffer
	w := deflateWriters.Get().(*flate.Writer)
	defer deflateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(body); err != nil {
		return nil, failure.Wrap(failure.Invalid, "deflate message", m.ID, err)
	}
	if err := w.Close(); err != nil {
		return nil, failure.Wrap(failure.Invalid, "deflate message", m.ID, err)
	}
	return out.Bytes(), nil
}

// decode reads a message from deflated JSON.
func decode(data []byte) (message, error) {
	var m message
	r := inflateReaders.Get().(io.ReadCloser)
	defer inflateReaders.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return m, failure.Wrap(failure.Remote, "inflate message", "", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return m, failure.Wrap(failure.Remote, "inflate message", "", err)
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return m, failure.Wrap(failure.Remote, "decode message", "", err)
	}
	return m, nil
}

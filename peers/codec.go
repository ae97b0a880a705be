package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"quartzshelf.dev/common/failure"
)

// maxMessage bounds an inflated message, in bytes.
const maxMessage = 1 << 20

// deflaters holds writers for reuse: each takes several hundred kilobytes.
var deflaters = sync.Pool{New: func() any {
	// New fails only for a level that does not exist.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// inflaters holds readers for reuse.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// encode returns a message as deflated JSON.
func encode(m *message) ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, failure.At(failure.Invalid, "encode message", m.ID, err)
	}
	var out bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(body); err != nil {
		return nil, failure.At(failure.Invalid, "deflate message", m.ID, err)
	}
	if err := w.Close(); err != nil {
		return nil, failure.At(failure.Invalid, "deflate message", m.ID, err)
	}
	return out.Bytes(), nil
}

// decode reads a message from deflated JSON.
func decode(data []byte) (message, error) {
	var m message
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return m, failure.At(failure.Remote, "inflate message", "", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxMessage))
	if err != nil {
		return m, failure.At(failure.Remote, "inflate message", "", err)
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return m, failure.At(failure.Remote, "decode message", "", err)
	}
	return m, nil
}

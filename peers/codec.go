package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"quartzshelf.dev/common/failure"
)

// maxBeat bounds an inflated beat, in bytes.
const maxBeat = 1 << 20

// deflaters holds writers for reuse: each takes several hundred kilobytes.
var deflaters = sync.Pool{New: func() any {
	// New fails only for a level that does not exist.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// inflaters holds readers for reuse.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// encodeBeat returns a beat as deflated JSON.
func encodeBeat(b *Beat) ([]byte, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, failure.At(failure.Invalid, "encode beat", b.ID, err)
	}
	var out bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(body); err != nil {
		return nil, failure.At(failure.Invalid, "deflate beat", b.ID, err)
	}
	if err := w.Close(); err != nil {
		return nil, failure.At(failure.Invalid, "deflate beat", b.ID, err)
	}
	return out.Bytes(), nil
}

// decodeBeat reads a beat from deflated JSON.
func decodeBeat(data []byte) (Beat, error) {
	var b Beat
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return b, failure.At(failure.Remote, "inflate beat", "", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBeat))
	if err != nil {
		return b, failure.At(failure.Remote, "inflate beat", "", err)
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return b, failure.At(failure.Remote, "decode beat", "", err)
	}
	return b, nil
}

package quarantine

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingerprint(t *testing.T) {
	type parts struct{ account, method, host, target, body string }
	same := parts{"account", "POST", "host", "/path?q=1", "body"}
	tests := map[string]parts{
		"another account": {"other", "POST", "host", "/path?q=1", "body"},
		"no account":      {"", "POST", "host", "/path?q=1", "body"},
		"another method":  {"account", "PUT", "host", "/path?q=1", "body"},
		"another host":    {"account", "POST", "other", "/path?q=1", "body"},
		"another path":    {"account", "POST", "host", "/other?q=1", "body"},
		"another query":   {"account", "POST", "host", "/path?q=2", "body"},
		"another body":    {"account", "POST", "host", "/path?q=1", "other"},
		"a body that starts with the end of the target": {"account", "POST", "host", "/path?q=", "1body"},
		"an account that ends with the method":          {"accountPOST", "", "host", "/path?q=1", "body"},
	}
	of := func(p parts) Fingerprint {
		return FingerprintOf(p.account, p.method, p.host, p.target, []byte(p.body))
	}
	for name, other := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, of(same) != of(other))
		})
	}
	assert.Equal(t, of(same), of(same))
}

func TestFingerprintInMessages(t *testing.T) {
	f := FingerprintOf("account", "POST", "host", "/path", []byte("body"))
	text, err := f.MarshalText()
	assert.NilError(t, err)
	var decoded Fingerprint
	assert.NilError(t, decoded.UnmarshalText(text))
	assert.Equal(t, decoded, f)
	refused := map[string]string{
		"nothing":         "",
		"too short":       string(text[1:]),
		"too long":        string(text) + "AAAA",
		"no base64":       strings.Repeat("!", len(text)),
		"invalid UTF-8":   "\xff\xfe",
		"spare bits set":  string(text[:len(text)-1]) + "_",
		"one of a stream": string(text) + "\n",
	}
	for name, given := range refused {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, decoded.UnmarshalText([]byte(given)) != nil)
		})
	}
}

// BenchmarkFingerprint measures the computation of fingerprints for bodies of several sizes.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{200, 4 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			body := make([]byte, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				FingerprintOf("account", "POST", "host", "/path", body)
			}
		})
	}
}

// Package quarantine determines which requests crash the workers that run them. A request is
// quarantined if several workers ended while they had it, and released if a run of it completes.
// Daemons exchange what they observed. The package does no I/O.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// fingerprintSize is the length of a fingerprint in bytes. It makes it infeasible to find two
// requests with the same fingerprint.
const fingerprintSize = 16

var errLineBreaks = errors.New("it holds characters that count for nothing")

// Fingerprint identifies a request by its content. Equal requests of one client account have the
// same fingerprint at all daemons.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a request. It depends on the client account, so that no
// account can cause the quarantine of another account's requests. The account is empty for routes
// that need no key.
func FingerprintOf(account, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{account, method, host, target} {
		// The length prefixes ensure that "ab", "c" and "a", "bc" have different hashes.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writing to a hash does not fail.
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintSize])
}

// String returns the fingerprint in base64, as used in logs and messages.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts only text in the form that String
// returns.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if want := base64.RawURLEncoding.EncodedLen(fingerprintSize); len(text) != want {
		return fmt.Errorf("decode fingerprint %.40q: %d characters in place of %d", text, len(text), want)
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil || len(data) != fingerprintSize {
		return fmt.Errorf("decode fingerprint %.40q: %w", text, cmp.Or(err, errLineBreaks))
	}
	*f = Fingerprint(data)
	return nil
}

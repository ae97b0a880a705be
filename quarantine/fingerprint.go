// Package quarantine decides which requests end the workers that run them, from what
// daemons saw: which requests were at a worker when it ended, and which were run to a
// good end. It does no I/O. docs/design/crashing-requests.md has what was weighed.
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

// fingerprintSize is the length of a fingerprint in bytes: nobody finds a second body for a
// given one by trying 2^127 of them.
const fingerprintSize = 16

var errNotWhole = errors.New("it holds characters that count for nothing")

// Fingerprint tells requests apart by what makes a worker do the same again. Equal
// requests of one client account have equal fingerprints, at all daemons.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a request. The account is part of it, so that no
// account can bring a fingerprint of another about, whatever it sends; it is empty for
// routes that need no key. The body is read in place and not copied.
func FingerprintOf(account, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{account, method, host, target} {
		// With its length before it, no part can pose as the end of the one before.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writing to a hash does not fail.
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintSize])
}

// String returns the fingerprint as logs and messages show it.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It refuses what String does not write.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if want := base64.RawURLEncoding.EncodedLen(fingerprintSize); len(text) != want {
		return fmt.Errorf("decode fingerprint %.40q: %d characters in place of %d", text, len(text), want)
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil || len(data) != fingerprintSize {
		return fmt.Errorf("decode fingerprint %.40q: %w", text, cmp.Or(err, errNotWhole))
	}
	*f = Fingerprint(data)
	return nil
}

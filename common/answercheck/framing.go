package answercheck

import (
	"bytes"
	"strings"
)

// The fields that frame a body. net/http removes them from the answers that it returns.
const (
	lengthField = "Content-Length"
	codingField = "Transfer-Encoding"
)

// maxLineStart is how much of a line is kept: enough for the names of the fields above, and for a status.
const maxLineStart = len(codingField) + 1

// Framing checks how the answer's head frames its body, as the bytes of the head arrive. An answer with both a
// length and a coding, with a coding that its version of HTTP lacks, or with a body that its status lacks may end
// at different places for different readers (RFC 9112, section 6). net/http accepts them, and removes the fields.
// The zero value checks nothing until Begin is called.
type Framing struct {
	// isWithinHead reports whether the empty line that ends the head has not arrived yet.
	isWithinHead bool
	isFirstLine  bool
	// lineStart is the beginning of the current line.
	lineStart []byte
	lineBytes int
	// isInterim and isEarlyVersion describe the status line.
	isInterim, isEarlyVersion bool
	hasLength, hasCoding      bool
	err                       error
}

// Begin starts an answer. Interim answers that precede it are checked too.
func (f *Framing) Begin() {
	*f = Framing{lineStart: f.lineStart}
	f.beginHead()
}

func (f *Framing) beginHead() {
	f.isWithinHead, f.isFirstLine = true, true
	f.isInterim, f.isEarlyVersion, f.hasLength, f.hasCoding = false, false, false, false
	f.beginLine()
}

func (f *Framing) beginLine() { f.lineStart, f.lineBytes = f.lineStart[:0], 0 }

// Err returns an Error if the heads that have arrived frame a body ambiguously.
func (f *Framing) Err() error { return f.err }

// Check checks bytes of the answer. What follows the head belongs to the body and is not checked.
func (f *Framing) Check(data []byte) {
	for _, b := range data {
		if !f.isWithinHead {
			return
		}
		if b == '\n' {
			f.endLine()
			continue
		}
		f.lineBytes++
		if len(f.lineStart) < maxLineStart {
			f.lineStart = append(f.lineStart, b)
		}
	}
}

// endLine handles the end of a line.
func (f *Framing) endLine() {
	defer f.beginLine()
	isEmpty := f.lineBytes == 0 || f.lineBytes == 1 && f.lineStart[0] == '\r'
	switch {
	case f.isFirstLine:
		f.isFirstLine = false
		version, status, _ := strings.Cut(string(f.lineStart), " ")
		f.isEarlyVersion = version == "HTTP/1.0"
		f.isInterim = strings.HasPrefix(strings.TrimLeft(status, " "), "1")
	case isEmpty:
		f.endHead()
	default:
		name, _, _ := bytes.Cut(f.lineStart, []byte(":"))
		f.hasLength = f.hasLength || strings.EqualFold(string(name), lengthField)
		f.hasCoding = f.hasCoding || strings.EqualFold(string(name), codingField)
	}
}

// endHead handles the empty line. After an interim head another one begins.
func (f *Framing) endHead() {
	f.isWithinHead = false
	switch {
	case f.hasCoding && f.hasLength:
		f.err = &Error{part: "framing", value: lengthField + " and " + codingField}
	case f.hasCoding && f.isEarlyVersion:
		f.err = &Error{part: "framing", value: codingField + " in HTTP/1.0"}
	case f.isInterim && (f.hasCoding || f.hasLength):
		f.err = &Error{part: "framing", value: "a body of an interim answer"}
	}
	if f.isInterim {
		f.beginHead()
	}
}

// Package headlimit limits the heads of HTTP messages, which net/http limits in bytes only, or not at all.
// Each line of a head takes memory beyond its bytes.
package headlimit

// LineCounter counts the lines of a head as its bytes arrive. The zero value counts nothing until Begin
// is called.
type LineCounter struct {
	// isWithinHead reports whether the empty line that ends the head has not arrived yet.
	isWithinHead bool
	lines        int
	// lineBytes is the length of the current line so far, lastByte its last byte.
	lineBytes int
	lastByte  byte
}

// Begin starts a head.
func (c *LineCounter) Begin() { *c = LineCounter{isWithinHead: true} }

// End ends the head, so that nothing more is counted.
func (c *LineCounter) End() { *c = LineCounter{} }

// Lines returns the number of lines that have arrived.
func (c *LineCounter) Lines() int { return c.lines }

// Count counts the lines in data up to the empty one that ends the head. What follows belongs to the
// body.
func (c *LineCounter) Count(data []byte) {
	for _, b := range data {
		if !c.isWithinHead {
			return
		}
		if b != '\n' {
			c.lineBytes++
			c.lastByte = b
			continue
		}
		isEmpty := c.lineBytes == 0 || c.lineBytes == 1 && c.lastByte == '\r'
		c.isWithinHead = !isEmpty
		c.lines++
		c.lineBytes = 0
	}
}

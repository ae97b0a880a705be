package soak

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"quartzshelf.dev/platform/standin"
)

// requestBody is the body of one request. It comes some time after it is first read.
type requestBody struct {
	ctx    context.Context
	delay  time.Duration
	reader *strings.Reader
	// wholeAt is when the body was read to its end, in Unix nanoseconds, or 0 before that.
	wholeAt atomic.Int64
}

func newRequestBody(ctx context.Context, text string, delay time.Duration) *requestBody {
	return &requestBody{ctx: ctx, delay: delay, reader: strings.NewReader(text)}
}

// Read waits for the delay before it returns the first bytes. It fails if the request ends meanwhile.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.delay > 0 {
		if !sleep(b.ctx, b.delay) {
			return 0, b.ctx.Err()
		}
		b.delay = 0
	}
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.wholeAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

// sentWholeAt returns when the whole body was handed over to the connection. It returns false before that.
func (b *requestBody) sentWholeAt() (time.Time, bool) {
	at := b.wholeAt.Load()
	return time.Unix(0, at), at != 0
}

// bodyText returns the text of the body of a request.
func (r *call) bodyText() string {
	if r.work > 0 {
		return standin.WorkBody(r.work)
	}
	return "a body"
}

// sentWholeAt returns when the whole request was sent, or the present time if its late body is still on its way.
func (r *call) sentWholeAt() time.Time {
	if r.bodyDelay == 0 {
		return r.sentAt
	}
	if at, ok := r.body.sentWholeAt(); ok {
		return at
	}
	return time.Now()
}

// lacksLateBody reports whether the daemon can't have read the whole request, because its late body is still
// on its way.
func (r *call) lacksLateBody() bool {
	if r.bodyDelay == 0 {
		return false
	}
	_, isWhole := r.body.sentWholeAt()
	return !isWhole
}

package operatorcmd

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"quartzshelf.dev/hall"
)

// hallPoll is how often a closing hall is looked at; its state changes within seconds.
const hallPoll = time.Second

// errNotEmpty says that a hall is closed and not yet empty.
var errNotEmpty = errors.New("the data hall is closed, but not known to be empty")

// hallWait waits until a closed hall is empty.
type hallWait struct {
	env   *environment
	name  string
	until time.Time
	// revision is the newest one in which the hall was seen closed.
	revision int64
	// shown is the last line of progress.
	shown string
}

// run shows each change until the hall is empty or the time is up. A daemon that does
// not answer meanwhile is asked again.
func (w *hallWait) run() error {
	for {
		h, err := w.look()
		switch {
		case err != nil:
			w.progress(err.Error())
		case h.State == hall.Empty:
			w.progress("empty")
			return showHalls(w.env, h, []hall.Status{h})
		case h.State == hall.Open && w.revision > 0 && h.Revision > w.revision:
			return &refusedError{problem: fmt.Sprintf("data hall %s was opened meanwhile, in revision %d", w.name, h.Revision)}
		case h.State == hall.Open:
			w.progress("the closing is not known everywhere yet")
		default:
			w.progress(strings.Join(h.Obstacles, "; "))
		}
		if !time.Now().Add(hallPoll).Before(w.until) {
			return fmt.Errorf("%w: %s; look again with: quartzshelf hall list", errNotEmpty, w.shown)
		}
		time.Sleep(hallPoll)
	}
}

// look asks every daemon that was named, for each sees its own calls of services
// alone. The hall is empty only if all that answer say so of the newest revision that
// any of them holds.
func (w *hallWait) look() (hall.Status, error) {
	var all []hall.Status
	var last error
	for _, address := range w.env.client.addresses {
		var halls []hall.Status
		if last = w.env.client.call(fasthttp.MethodGet, address, "/api/halls", nil, &halls); last != nil {
			continue
		}
		if h, err := findHall(halls, w.name); err == nil {
			all = append(all, h)
		} else {
			last = err
		}
	}
	if len(all) == 0 {
		return hall.Status{}, fmt.Errorf("no daemon answered: %w", last)
	}
	newest := slices.MaxFunc(all, func(a, b hall.Status) int { return cmp.Compare(a.Revision, b.Revision) })
	if newest.State != hall.Open {
		w.revision = max(w.revision, newest.Revision)
	}
	for _, h := range all {
		switch {
		case newest.State != hall.Empty:
			return newest, nil
		case h.Revision < newest.Revision:
			h.State = hall.Open
			return h, nil
		case h.State != hall.Empty:
			return h, nil
		}
	}
	return newest, nil
}

// progress shows what is waited for when it has changed.
func (w *hallWait) progress(text string) {
	if text != "" && text != w.shown {
		fmt.Fprintf(w.env.stderr, "%s: %s\n", w.name, text)
		w.shown = text
	}
}

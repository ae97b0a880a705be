package operatorcmd

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"quartzshelf.dev/hall"
)

// hallPollInterval is the time between two polls of a closing hall.
const hallPollInterval = time.Second

// errHallNotKnownEmpty means that a hall is closed, but was not known to be empty by the deadline.
var errHallNotKnownEmpty = errors.New("the data hall is closed, but not known to be empty")

// hallWait waits until a closing hall is empty.
type hallWait struct {
	env      *environment
	name     string
	deadline time.Time
	// closedRevision is the newest revision in which the hall was reported as closing or empty.
	closedRevision int64
	// lastShown is the last progress text that was printed.
	lastShown string
}

// run polls the daemons and prints each change of progress until the hall is empty or open
// again, or until the deadline passes. An error of a poll is printed as progress.
func (w *hallWait) run() error {
	for {
		h, err := w.pollDaemons()
		switch {
		case err != nil:
			w.showProgress(err.Error())
		case h.State == hall.Empty:
			w.showProgress("empty")
			return showHalls(w.env, h, []hall.Status{h})
		case h.State == hall.Open && w.closedRevision > 0 && h.Revision > w.closedRevision:
			return &refusedError{problem: fmt.Sprintf("data hall %s was opened meanwhile, in revision %d", w.name, h.Revision)}
		case h.State == hall.Open:
			w.showProgress("the closing is not known everywhere yet")
		default:
			w.showProgress(strings.Join(h.Obstacles, "; "))
		}
		if !time.Now().Add(hallPollInterval).Before(w.deadline) {
			return fmt.Errorf("%w: %s; look again with: quartzshelf hall list", errHallNotKnownEmpty, w.lastShown)
		}
		time.Sleep(hallPollInterval)
	}
}

// pollDaemons asks every configured daemon, because each one knows only its own service calls in
// flight. It returns the state Empty only if all daemons that answer report the hall as empty, in
// the same revision. Otherwise it returns the status from a daemon where the hall is not empty. The
// hall counts as open at a daemon with an older revision.
func (w *hallWait) pollDaemons() (hall.Status, error) {
	var all []hall.Status
	var last error
	for _, address := range w.env.client.addresses {
		var halls []hall.Status
		if last = w.env.client.call(http.MethodGet, address, "/api/halls", nil, &halls); last != nil {
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
		w.closedRevision = max(w.closedRevision, newest.Revision)
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

// showProgress prints a text unless it is empty or the same as the last one.
func (w *hallWait) showProgress(text string) {
	if text != "" && text != w.lastShown {
		fmt.Fprintf(w.env.stderr, "%s: %s\n", w.name, text)
		w.lastShown = text
	}
}

// Package loadcmd is the command line of the load tool: it sends requests as
// callers do, checks every answer against what the stand-in must have said,
// and counts what went wrong.
package loadcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"quartzshelf.dev/cmd/common"
)

// Exit codes of the load tool.
const (
	exitOK     = 0
	exitFaults = 1
	exitUsage  = 2
)

const (
	maxCallers  = 400
	maxDuration = 10 * time.Minute
)

type commandLine struct {
	Entries  []string      `help:"Callers' addresses of daemons to ask for entries." default:"127.0.0.1:7400"`
	Platform string        `help:"Address of the stand-in's node list, to count runs at the end; none without it."`
	Key      string        `help:"Bearer key." default:"demo-key"`
	Model    string        `help:"Deployment to ask for." default:"demo"`
	Service  string        `help:"Plain service to call." default:"ledger"`
	Callers  int           `help:"How many callers send at the same time." default:"20"`
	Tokens   int           `help:"Tokens of each answer." default:"20"`
	Duration time.Duration `help:"How long to send." default:"20s"`
}

// Run sends load and returns the exit code: zero when nothing was lost,
// doubled, crossed or cut.
func Run(args []string, stdout, stderr io.Writer) int {
	var line commandLine
	if !common.Parse("quartzshelf-load", "Sends requests and checks every answer.", &line, args, stdout, stderr) {
		return exitUsage
	}
	if line.Callers < 1 || line.Callers > maxCallers || line.Duration > maxDuration {
		fmt.Fprintf(stderr, "quartzshelf-load: at most %d callers and %v\n", maxCallers, maxDuration)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	result := send(ctx, line)
	if line.Platform != "" {
		if err := result.checkRuns(line.Platform); err != nil {
			fmt.Fprintln(stderr, "quartzshelf-load:", err)
			return exitFaults
		}
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result.summary()); err != nil || result.faults() > 0 {
		return exitFaults
	}
	return exitOK
}

// send runs the callers until the time is over, and lets each end its request.
func send(ctx context.Context, line commandLine) *result {
	r := newResult()
	deadline := time.Now().Add(line.Duration)
	directory := &directory{seeds: line.Entries, http: &http.Client{Timeout: directoryTimeout}}
	var group conc.WaitGroup
	for i := range line.Callers {
		c := &caller{line: line, number: i, result: r, directory: directory, http: &http.Client{Transport: &http.Transport{}}}
		group.Go(func() { c.run(ctx, deadline) })
	}
	group.Wait()
	return r
}

const (
	directoryTimeout = 3 * time.Second
	minKeep          = 100 * time.Millisecond
)

// directory keeps the answer of the daemons that says which addresses to use.
type directory struct {
	seeds []string
	http  *http.Client

	mu        sync.Mutex
	addresses []string
	next      int
	keepUntil time.Time
}

// address returns an address to use now; all of them take turns.
func (d *directory) address(ctx context.Context) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.keepUntil) {
		d.refresh(ctx)
	}
	d.next++
	if len(d.addresses) == 0 {
		return d.seeds[d.next%len(d.seeds)]
	}
	return d.addresses[d.next%len(d.addresses)]
}

func (d *directory) refresh(ctx context.Context) {
	for _, seed := range append(append([]string{}, d.addresses...), d.seeds...) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+"/v1/entries", nil)
		if err != nil {
			continue
		}
		response, err := d.http.Do(request)
		if err != nil {
			continue
		}
		var list struct {
			Entries []struct {
				Address string `json:"address"`
			} `json:"entries"`
			KeepSeconds float64 `json:"keep_seconds"`
		}
		err = json.NewDecoder(response.Body).Decode(&list)
		_ = response.Body.Close()
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		d.addresses = nil
		for _, e := range list.Entries {
			d.addresses = append(d.addresses, e.Address)
		}
		d.keepUntil = time.Now().Add(max(time.Duration(list.KeepSeconds*float64(time.Second)), minKeep))
		return
	}
}

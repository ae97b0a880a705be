// Package loadcmd implements the command line of the load generator. It sends requests as client
// programs do, compares each answer with the one that the simulated nodes must give, and counts
// the faults.
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

// Run generates load and returns the exit code, which is exitOK if there were no faults.
func Run(args []string, stdout, stderr io.Writer) int {
	var flags commandLine
	if !common.Parse("quartzshelf-load", "Sends requests and checks every answer.", &flags, args, stdout, stderr) {
		return exitUsage
	}
	if flags.Callers < 1 || flags.Callers > maxCallers || flags.Duration > maxDuration {
		fmt.Fprintf(stderr, "quartzshelf-load: at most %d callers and %v\n", maxCallers, maxDuration)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	result := runCallers(ctx, flags)
	if flags.Platform != "" {
		if err := result.checkRuns(flags.Platform); err != nil {
			fmt.Fprintln(stderr, "quartzshelf-load:", err)
			return exitFaults
		}
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result.summary()); err != nil || result.faultCount() > 0 {
		return exitFaults
	}
	return exitOK
}

// runCallers runs the callers for the configured duration. Each of them then completes its
// current request.
func runCallers(ctx context.Context, flags commandLine) *result {
	r := newResult()
	deadline := time.Now().Add(flags.Duration)
	directory := &directory{seeds: flags.Entries, http: &http.Client{Timeout: directoryTimeout}}
	var group conc.WaitGroup
	for i := range flags.Callers {
		c := &caller{flags: flags, index: i, result: r, directory: directory, http: &http.Client{Transport: &http.Transport{}}}
		group.Go(func() { c.run(ctx, deadline) })
	}
	group.Wait()
	return r
}

const (
	directoryTimeout = 3 * time.Second
	minCacheTime     = 100 * time.Millisecond
)

// directory caches the list of addresses that the daemons publish for callers.
type directory struct {
	seeds []string
	http  *http.Client

	mu        sync.Mutex
	addresses []string
	next      int
	expiresAt time.Time
}

// nextAddress returns the listed addresses in turn, or the configured ones if there is no list.
func (d *directory) nextAddress(ctx context.Context) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.expiresAt) {
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
		d.expiresAt = time.Now().Add(max(time.Duration(list.KeepSeconds*float64(time.Second)), minCacheTime))
		return
	}
}

// Package soakcmd implements the command line of the soak test. It runs random fault schedules
// against real daemons and reports violated guarantees.
package soakcmd

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/cmd/common"
	"quartzshelf.dev/soak"
)

// Exit codes of the soak.
const (
	exitOK         = 0
	exitViolations = 1
	exitUsage      = 2
)

const (
	maxDaemons  = 60
	maxWorkers  = 200
	maxParallel = 8
	maxDuration = 10 * time.Minute
)

type commandLine struct {
	Program  string        `help:"The daemon's program." default:".bin/quartzshelf-platform" type:"path"`
	Seeds    []uint64      `help:"Seeds to play; drawn if none are given."`
	Count    int           `help:"How many seeds to draw." default:"1"`
	Parallel int           `help:"How many seeds to play at the same time." default:"1"`
	Daemons  int           `help:"Daemons of each run." default:"4"`
	Workers  int           `help:"Workers that form replicas." default:"24"`
	Callers  int           `help:"Callers that send at the same time." default:"16"`
	Series   int           `help:"Series of faults that overlap." default:"3"`
	Duration time.Duration `help:"How long faults strike." default:"15s"`
	Halls    bool          `help:"Also close, lose and warm up data halls, in two regions."`
	Crashing bool          `help:"Also send a request that ends each worker which runs it."`
	Parts    bool          `help:"Also send requests that share a part of their prompts which ends each worker."`
	Drills   bool          `help:"Also let the store come back from a copy that is seconds old."`
	Reborn   bool          `help:"Also let workers come back under their id."`
	Asking   bool          `help:"Also let workers name limits, ask for rest and say in answers that they leave."`
	Pausing  bool          `help:"Also let workers fall silent and go on, beside changes of the configuration; alone with --series 0."`
	Stopping bool          `help:"Also stop daemons as planned, several at a time, beside long streams, late bodies and callers that stay; alone with --series 0, most seeds in waves while workers become slow."`
	Spoiling bool          `help:"Also let workers send bytes that are no response, and leave odd entries among theirs."`
	Earlier  string        `help:"The program of an earlier build that runs beside this one." type:"existingfile"`
	Mix      string        `help:"How both run: half of the daemons for good, each replaced when it starts again, or replaced and taken back." enum:"half,replaced,back" default:"half"`
	Verbose  bool          `help:"Tell every fault."`
}

func (l *commandLine) isValid() bool {
	return l.Daemons >= 1 && l.Daemons <= maxDaemons && l.Workers >= 1 && l.Workers <= maxWorkers &&
		l.Parallel >= 1 && l.Parallel <= maxParallel && l.Duration > 0 && l.Duration <= maxDuration && l.Count >= 1
}

// Run runs one soak for each seed and returns the exit code, which is exitOK if all of them
// passed.
func Run(args []string, stdout, stderr io.Writer) int {
	var flags commandLine
	if !common.Parse("quartzshelf-soak", "Plays random faults against real daemons.", &flags, args, stdout, stderr) {
		return exitUsage
	}
	if !flags.isValid() {
		fmt.Fprintf(stderr, "quartzshelf-soak: at most %d daemons, %d workers, %d in parallel and %s; at least one of each\n",
			maxDaemons, maxWorkers, maxParallel, maxDuration)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	seeds := flags.Seeds
	for len(flags.Seeds) == 0 && len(seeds) < flags.Count {
		seeds = append(seeds, uint64(rand.Uint32()))
	}
	r := &reporter{out: stdout}
	p := pool.New().WithMaxGoroutines(flags.Parallel)
	for i, seed := range seeds {
		p.Go(func() { r.report(runSeed(ctx, flags, i, seed, stderr)) })
	}
	p.Wait()
	fmt.Fprintf(stdout, "%d passed, %d failed\n", len(seeds)-r.failed, r.failed)
	if r.failed > 0 {
		return exitViolations
	}
	return exitOK
}

// seedResult is the result of the soak of one seed. dir is the directory of its logs.
type seedResult struct {
	soak.Result
	dir string
	err error
}

func runSeed(ctx context.Context, flags commandLine, index int, seed uint64, stderr io.Writer) seedResult {
	level := hclog.Warn
	if flags.Verbose {
		level = hclog.Debug
	}
	dir, err := soak.NewDir(seed)
	if err != nil {
		return seedResult{Result: soak.Result{Seed: seed}, err: err}
	}
	program, err := filepath.Abs(flags.Program)
	if err != nil {
		return seedResult{Result: soak.Result{Seed: seed}, dir: dir, err: err}
	}
	earlier := flags.Earlier
	if earlier != "" {
		if earlier, err = filepath.Abs(earlier); err != nil {
			return seedResult{Result: soak.Result{Seed: seed}, dir: dir, err: err}
		}
	}
	result, err := soak.Run(ctx, soak.Options{
		Seed: seed, Program: program, EarlierProgram: earlier, Mix: soak.BuildMix(flags.Mix), Dir: dir, AddressPrefix: loopbackPrefix(index), Daemons: flags.Daemons, Workers: flags.Workers,
		Callers: flags.Callers, SeriesCount: flags.Series, Duration: flags.Duration, HallFaults: flags.Halls, CrashingRequest: flags.Crashing, CrashingPart: flags.Parts, StoreRestores: flags.Drills, WorkersKeepIDs: flags.Reborn, WorkerSignals: flags.Asking, WorkerPauses: flags.Pausing, DaemonStops: flags.Stopping, WorkerSpoils: flags.Spoiling,
		Logger: hclog.New(&hclog.LoggerOptions{Name: "soak", Output: stderr, Level: level}),
	})
	result.Seed = seed
	return seedResult{Result: result, dir: dir, err: err}
}

// loopbackPrefix returns the first three numbers of the loopback addresses of a run. The numbers
// depend on the process id and the index of the run, so that concurrent runs rarely share addresses.
func loopbackPrefix(index int) string {
	const valuesPerByte = 250
	return fmt.Sprintf("127.%d.%d", 1+os.Getpid()%valuesPerByte, 1+index%valuesPerByte)
}

// reporter prints the results of soaks and counts the failed ones. It is safe for concurrent
// use.
type reporter struct {
	out io.Writer

	mu     sync.Mutex
	failed int
}

func (r *reporter) report(p seedResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts []string
	for _, what := range slices.Sorted(maps.Keys(p.RequestsByResult)) {
		counts = append(counts, fmt.Sprintf("%s %d", what, p.RequestsByResult[what]))
	}
	if p.CrashedWorkers > 0 {
		counts = append(counts, fmt.Sprintf("workers ended by a request %d", p.CrashedWorkers))
	}
	if p.err == nil && len(p.Violations) == 0 {
		fmt.Fprintf(r.out, "seed %d: passed, %d faults; %s\n", p.Seed, p.FaultCount, strings.Join(counts, ", "))
		// The logs of a passed run are not needed.
		_ = os.RemoveAll(p.dir)
		return
	}
	r.failed++
	fmt.Fprintf(r.out, "seed %d: FAILED, %d faults; %s; logs in %s\n", p.Seed, p.FaultCount, strings.Join(counts, ", "), p.dir)
	if p.err != nil {
		fmt.Fprintf(r.out, "  not played to its end: %v\n", p.err)
	}
	for _, v := range p.Violations {
		fmt.Fprintf(r.out, "  %s %s: %s\n", v.At.Format("15:04:05.000"), v.Rule, v.Details)
	}
}

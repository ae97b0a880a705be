// Package soakcmd is the command line of the fault soak: it plays seeds against
// real daemons and tells which of them broke a promise.
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
	exitOK     = 0
	exitBroken = 1
	exitUsage  = 2
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
	Drills   bool          `help:"Also let the store come back from a copy that is seconds old."`
	Reborn   bool          `help:"Also let workers come back under their id."`
	Asking   bool          `help:"Also let workers name limits, ask for rest and say in answers that they leave."`
	Earlier  string        `help:"The program of an earlier build that runs beside this one." type:"existingfile"`
	Mix      string        `help:"How both run: half of the daemons for good, each replaced when it starts again, or replaced and taken back." enum:"half,replaced,back" default:"half"`
	Verbose  bool          `help:"Tell every fault."`
}

func (l *commandLine) valid() bool {
	return l.Daemons >= 1 && l.Daemons <= maxDaemons && l.Workers >= 1 && l.Workers <= maxWorkers &&
		l.Parallel >= 1 && l.Parallel <= maxParallel && l.Duration > 0 && l.Duration <= maxDuration && l.Count >= 1
}

// Run plays soaks and returns the exit code: zero when no promise was broken.
func Run(args []string, stdout, stderr io.Writer) int {
	var line commandLine
	if !common.Parse("quartzshelf-soak", "Plays random faults against real daemons.", &line, args, stdout, stderr) {
		return exitUsage
	}
	if !line.valid() {
		fmt.Fprintf(stderr, "quartzshelf-soak: at most %d daemons, %d workers, %d in parallel and %s; at least one of each\n",
			maxDaemons, maxWorkers, maxParallel, maxDuration)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	seeds := line.Seeds
	for len(line.Seeds) == 0 && len(seeds) < line.Count {
		seeds = append(seeds, uint64(rand.Uint32()))
	}
	t := &teller{out: stdout}
	p := pool.New().WithMaxGoroutines(line.Parallel)
	for i, seed := range seeds {
		p.Go(func() { t.tell(play(ctx, line, i, seed, stderr)) })
	}
	p.Wait()
	fmt.Fprintf(stdout, "%d passed, %d failed\n", len(seeds)-t.failed, t.failed)
	if t.failed > 0 {
		return exitBroken
	}
	return exitOK
}

// played is a soak that was played and where its logs are.
type played struct {
	soak.Result
	dir string
	err error
}

func play(ctx context.Context, line commandLine, number int, seed uint64, stderr io.Writer) played {
	level := hclog.Warn
	if line.Verbose {
		level = hclog.Debug
	}
	dir, err := soak.NewDir(seed)
	if err != nil {
		return played{Result: soak.Result{Seed: seed}, err: err}
	}
	program, err := filepath.Abs(line.Program)
	if err != nil {
		return played{Result: soak.Result{Seed: seed}, dir: dir, err: err}
	}
	earlier := line.Earlier
	if earlier != "" {
		if earlier, err = filepath.Abs(earlier); err != nil {
			return played{Result: soak.Result{Seed: seed}, dir: dir, err: err}
		}
	}
	result, err := soak.Run(ctx, soak.Options{
		Seed: seed, Program: program, Earlier: earlier, Mix: soak.Mix(line.Mix), Dir: dir, Host: host(number), Daemons: line.Daemons, Workers: line.Workers,
		Callers: line.Callers, Series: line.Series, Duration: line.Duration, Halls: line.Halls, Crashing: line.Crashing, Drills: line.Drills, Reborn: line.Reborn, Asking: line.Asking,
		Logger: hclog.New(&hclog.LoggerOptions{Name: "soak", Output: stderr, Level: level}),
	})
	result.Seed = seed
	return played{Result: result, dir: dir, err: err}
}

// host returns loopback addresses of this process and run alone, without their
// last number.
func host(number int) string {
	const part = 250
	return fmt.Sprintf("127.%d.%d", 1+os.Getpid()%part, 1+number%part)
}

// teller tells how soaks ended. It is safe for concurrent use.
type teller struct {
	out io.Writer

	mu     sync.Mutex
	failed int
}

func (t *teller) tell(p played) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counts []string
	for _, what := range slices.Sorted(maps.Keys(p.Totals)) {
		counts = append(counts, fmt.Sprintf("%s %d", what, p.Totals[what]))
	}
	if p.Crashed > 0 {
		counts = append(counts, fmt.Sprintf("workers ended by a request %d", p.Crashed))
	}
	if p.err == nil && len(p.Violations) == 0 {
		fmt.Fprintf(t.out, "seed %d: passed, %d faults; %s\n", p.Seed, p.Faults, strings.Join(counts, ", "))
		// Logs of what went well are of no use.
		_ = os.RemoveAll(p.dir)
		return
	}
	t.failed++
	fmt.Fprintf(t.out, "seed %d: FAILED, %d faults; %s; logs in %s\n", p.Seed, p.Faults, strings.Join(counts, ", "), p.dir)
	if p.err != nil {
		fmt.Fprintf(t.out, "  not played to its end: %v\n", p.err)
	}
	for _, v := range p.Violations {
		fmt.Fprintf(t.out, "  %s %s: %s\n", v.At.Format("15:04:05.000"), v.Promise, v.What)
	}
}

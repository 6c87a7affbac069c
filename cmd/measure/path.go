package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/sims/simcal"
	"github.com/lavendermux/lavendermux/stat"
)

const (
	// ticksPerSecond is the unit of CPU time in /proc, fixed on Linux.
	ticksPerSecond = 100
	callTimeout    = 30 * time.Second
)

type (
	pathCommand struct {
		Entry     string         `required:"" help:"URL of an entry."`
		Engine    string         `required:"" help:"URL of the engine stand-in behind it."`
		Desk      string         `required:"" help:"URL of the plain service stand-in behind it."`
		Model     string         `default:"reply" help:"Model that is asked."`
		Service   string         `default:"booking-api" help:"Plain service that is asked."`
		Pid       map[string]int `required:"" help:"Numbers of the processes to look at: entry=1;door=2;desk=3."`
		Rounds    int            `default:"5" help:"Rounds of direct and passed requests in turn."`
		Duration  time.Duration  `default:"2s" help:"How long each load lasts."`
		Busy      int            `default:"48" help:"Callers at a time of the throughput."`
		MaxTokens int64          `default:"32" help:"Greatest length of an answer."`
		Seed      uint64         `default:"1" help:"Seed of the loads."`
	}

	// pathPair is one kind of request, sent directly and through the path.
	pathPair struct {
		name           string
		direct, passed stat.Series
		direct99       stat.Series
		passed99       stat.Series
	}

	usage struct {
		cpu time.Duration
		rss int64
	}
)

// Run measures the latency and CPU time that the path adds, and prints tables.
func (c *pathCommand) Run() error {
	idle, err := c.usages()
	if err != nil {
		return err
	}
	fmt.Printf("### What the path adds\n\n%d rounds of %s, one caller, seed %d. Latency in ms: mean over the rounds (deviation).\n\n",
		c.Rounds, c.Duration, c.Seed)
	pairs := []*pathPair{{name: "generation"}, {name: "status of a plain service"}}
	for round := range c.Rounds {
		for i, p := range pairs {
			c.round(p, i == 1, c.Seed+uint64(round))
		}
	}
	fmt.Println(latencies(pairs))
	return c.throughput(idle)
}

func (c *pathCommand) round(p *pathPair, plain bool, seed uint64) {
	target := c.Engine
	if plain {
		target = c.Desk
	}
	direct := c.load([]string{target}, plain, 1, seed, simcal.WithDirect())
	passed := c.load([]string{c.Entry}, plain, 1, seed)
	p.direct.Add(direct.p50)
	p.direct99.Add(direct.p99)
	p.passed.Add(passed.p50)
	p.passed99.Add(passed.p99)
}

// loadResult is the result of one load.
type loadResult struct {
	p50, p99 float64
	ok       int64
	tokens   int64
	seconds  float64
}

func (c *pathCommand) load(urls []string, plain bool, callers int, seed uint64, more ...simcal.Option) loadResult {
	opts := []simcal.Option{
		simcal.WithModel(c.Model), simcal.WithRate(0, callers), simcal.WithDuration(c.Duration),
		simcal.WithRequest(callTimeout, 0, c.MaxTokens), simcal.WithSeed(seed), simcal.WithStreamingShare(1),
	}
	if plain {
		opts = append(opts, simcal.WithService(c.Service, 0), simcal.WithStatusShare(1))
	}
	sum := simcal.New(urls, append(opts, more...)...).Run(context.Background())
	return loadResult{p50: sum.LatencyP50, p99: sum.LatencyP99, ok: sum.Outcomes["ok"], tokens: sum.Tokens, seconds: sum.Seconds}
}

func latencies(pairs []*pathPair) string {
	g := grid.New("request", "direct p50", "passed p50", "ratio", "direct p99", "passed p99", "ratio")
	for _, p := range pairs {
		g.Add(p.name,
			meanDeviation(&p.direct), meanDeviation(&p.passed), ratio(&p.passed, &p.direct),
			meanDeviation(&p.direct99), meanDeviation(&p.passed99), ratio(&p.passed99, &p.direct99))
	}
	return g.Markdown()
}

func meanDeviation(s *stat.Series) string {
	return fmt.Sprintf("%.2f (%.2f)", s.Mean(), s.StdDev())
}

func ratio(a, b *stat.Series) string {
	return fmt.Sprintf("%.2f", a.Mean()/b.Mean())
}

// throughput loads the path with many callers and divides the requests and tokens by
// the CPU time that each process used.
func (c *pathCommand) throughput(idle map[string]usage) error {
	fmt.Printf("### Throughput and memory\n\n%d callers for %s a kind of request. Processor time is what the process took, all cores together.\n\n",
		c.Busy, c.Duration)
	g := grid.New("load", "requests/s", "tokens/s", "process", "cores taken", "requests per core second", "tokens per core second")
	for _, plain := range []bool{false, true} {
		before, err := c.usages()
		if err != nil {
			return err
		}
		r := c.load([]string{c.Entry}, plain, c.Busy, c.Seed)
		after, err := c.usages()
		if err != nil {
			return err
		}
		c.rows(g, plain, r, before, after)
	}
	fmt.Println(g.Markdown())
	after, err := c.usages()
	if err != nil {
		return err
	}
	fmt.Println(memory(idle, after))
	return nil
}

func (c *pathCommand) rows(g *grid.Table, plain bool, r loadResult, before, after map[string]usage) {
	name := "generation"
	if plain {
		name = "status"
	}
	for _, process := range sortedNames(after) {
		cpu := (after[process].cpu - before[process].cpu).Seconds()
		if cpu == 0 {
			continue
		}
		g.Add(name, fmt.Sprintf("%.0f", float64(r.ok)/r.seconds), fmt.Sprintf("%.0f", float64(r.tokens)/r.seconds),
			process, fmt.Sprintf("%.2f", cpu/r.seconds), fmt.Sprintf("%.0f", float64(r.ok)/cpu), fmt.Sprintf("%.0f", float64(r.tokens)/cpu))
	}
}

func memory(idle, after map[string]usage) string {
	g := grid.New("process", "resident idle, MB", "resident after the load, MB")
	for _, process := range sortedNames(idle) {
		g.Add(process, megabytes(idle[process].rss), megabytes(after[process].rss))
	}
	return g.Markdown()
}

func megabytes(n int64) string {
	return fmt.Sprintf("%.1f", float64(n)/1e6)
}

func sortedNames(m map[string]usage) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *pathCommand) usages() (map[string]usage, error) {
	out := map[string]usage{}
	for name, pid := range c.Pid {
		u, err := usageOf(pid)
		if err != nil {
			return nil, errors.Wrapf(err, "reading the usage of process %s", name)
		}
		out[name] = u
	}
	return out, nil
}

// usageOf reads a process's CPU time and resident memory from /proc.
func usageOf(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	// The second field, the command name, may contain spaces; the rest follows its
	// closing bracket.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	const user, system, pages = 11, 12, 21
	ticks := int64(0)
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return usage{}, errors.WithStack(err)
		}
		ticks += n
	}
	rss, err := strconv.ParseInt(fields[pages], 10, 64)
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	return usage{
		cpu: time.Duration(ticks) * time.Second / ticksPerSecond,
		rss: rss * int64(os.Getpagesize()),
	}, nil
}

// Package simcal generates a load of live requests, to a model or a plain service,
// with a limited number of concurrent callers. It verifies each answer and counts
// outcomes.
package simcal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/stat"
)

const (
	defaultModel       = "draft"
	defaultCaller      = "caller"
	defaultConcurrency = 4
	defaultDuration    = 10 * time.Second
	defaultTimeout     = 5 * time.Second
	defaultMaxTokens   = 64
	defaultMaxAttempts = 1

	// maxProblems limits the number of problem descriptions in a summary.
	maxProblems = 20
	// timeoutSlack is how much longer than the request's timeout a caller waits, so
	// that it receives the service's response to the timeout.
	timeoutSlack = 2 * time.Second

	outcomeOK       = "ok"
	outcomeWrong    = "wrong"
	outcomeCutOff   = "cutOff"
	outcomeNoAnswer = "noAnswer"
	outcomeSkipped  = "skipped"
)

type (
	// Generator is a load generator. Run may be called once. See New.
	Generator struct {
		config config

		mu         sync.Mutex
		rng        *rand.Rand
		entryIndex int
		outcomes   map[string]int64
		tokens     int64
		retries    int64
		latency    stat.Series
		firstEvent stat.Series
		problems   []string
	}

	// Option configures a Generator in New.
	Option func(*config)

	config struct {
		entries        []string
		http           *http.Client
		model          string
		service        string
		caller         string
		prefix         string
		concurrency    int
		rate           float64
		duration       time.Duration
		timeout        time.Duration
		priority       int32
		maxTokens      int64
		streamingShare float64
		keyedShare     float64
		statusShare    float64
		direct         bool
		maxAttempts    int
		seed           uint64
	}

	// arrival is one request of the load.
	arrival struct {
		number int
		// dueAt is when the request was due; zero means when a caller takes it.
		dueAt time.Time
		// attempt is the number of the current attempt, from 1.
		attempt int
	}

	// summary is the result of a load.
	summary struct {
		// Outcomes counts requests by outcome: "ok"; the kind of an error response,
		// such as "notRun"; "wrong" for an incomplete answer or one to another
		// request; "cutOff" for a stream without a final event; "noAnswer"; and
		// "skipped" for a request that was due while all callers were busy.
		Outcomes map[string]int64 `json:"outcomes"`
		Tokens   int64            `json:"tokens"`
		Retries  int64            `json:"retries"`
		Seconds  float64          `json:"seconds"`
		// LatencyP50 and LatencyP99 are latencies of complete answers in
		// milliseconds, from when the request was due.
		LatencyP50 float64 `json:"latencyMsP50"`
		LatencyP99 float64 `json:"latencyMsP99"`
		// Latencies of the first event of a stream, in milliseconds from when the
		// request was due.
		FirstEventP50 float64  `json:"firstMsP50"`
		FirstEventP99 float64  `json:"firstMsP99"`
		Problems      []string `json:"problems"`
	}
)

// New returns a load generator that sends requests to the entries.
//
//	l := simcal.New([]string{"http://127.0.0.1:8000"}, simcal.WithRate(20, 8))
//	sum := l.Run(ctx)
func New(entries []string, opts ...Option) *Generator {
	l := &Generator{config: defaults(entries), outcomes: make(map[string]int64)}
	for _, opt := range opts {
		opt(&l.config)
	}
	l.rng = rand.New(rand.NewPCG(l.config.seed, 2))
	return l
}

// Run sends requests until the configured duration is over or ctx ends, waits for
// their answers and returns the summary.
func (l *Generator) Run(ctx context.Context) summary {
	begin := time.Now()
	due := make(chan arrival)
	var wg sync.WaitGroup
	for range l.config.concurrency {
		wg.Go(func() {
			for a := range due {
				if a.dueAt.IsZero() {
					a.dueAt = time.Now()
				}
				l.sendRequest(ctx, a)
			}
		})
	}
	l.generateArrivals(ctx, due)
	close(due)
	wg.Wait()
	return l.summary(time.Since(begin))
}

// WrongAnswers returns the number of wrong answers: answers to another request, or
// incomplete ones that were reported as complete.
func (s summary) WrongAnswers() int64 {
	return s.Outcomes[outcomeWrong]
}

// generateArrivals sends arrivals to due: as a Poisson process at the configured
// rate or, with a rate of 0, whenever a caller is free.
func (l *Generator) generateArrivals(ctx context.Context, due chan<- arrival) {
	end := time.NewTimer(l.config.duration)
	defer end.Stop()
	for n := 0; ; n++ {
		if l.config.rate > 0 {
			if !l.waitForArrival(ctx, end.C) {
				return
			}
			select {
			case due <- arrival{number: n, dueAt: time.Now()}:
			default:
				l.count(outcomeSkipped)
			}
			continue
		}
		select {
		case due <- arrival{number: n}:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waitForArrival sleeps until the next arrival. It returns false once end fires or
// ctx ends.
func (l *Generator) waitForArrival(ctx context.Context, end <-chan time.Time) bool {
	l.mu.Lock()
	gap := l.rng.ExpFloat64() / l.config.rate
	l.mu.Unlock()
	t := time.NewTimer(time.Duration(gap * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-end:
		return false
	case <-ctx.Done():
		return false
	}
}

func (l *Generator) summary(d time.Duration) summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	return summary{
		Outcomes:      l.outcomes,
		Tokens:        l.tokens,
		Retries:       l.retries,
		Seconds:       d.Seconds(),
		LatencyP50:    l.latency.Quantile(0.5),
		LatencyP99:    l.latency.Quantile(0.99),
		FirstEventP50: l.firstEvent.Quantile(0.5),
		FirstEventP99: l.firstEvent.Quantile(0.99),
		Problems:      l.problems,
	}
}

func (l *Generator) count(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
}

func (l *Generator) recordProblem(a arrival, problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.problems) < maxProblems {
		l.problems = append(l.problems, fmt.Sprintf("request %d: %s", a.number, problem))
	}
}

// pickEntry returns the next entry in round-robin order.
func (l *Generator) pickEntry() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryIndex++
	return l.config.entries[l.entryIndex%len(l.config.entries)]
}

// chance returns true with probability share.
func (l *Generator) chance(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < share
}

// Package simtrn simulates a trainer: a client that publishes weights, submits
// groups of prompts, pulls samples until each step is complete, and verifies each
// guarantee about them.
package simtrn

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/rest"
	"github.com/lavendermux/lavendermux/sims/simsrv"
	"github.com/lavendermux/lavendermux/stat"
)

const (
	defaultSteps        = 3
	defaultGroups       = 8
	defaultGroupSize    = 8
	defaultMaxTokens    = 512
	defaultMaxStaleness = 2
	defaultFirstVersion = 1
	defaultVersionBytes = 100_000_000
	defaultPullWait     = 10 * time.Second
	defaultPullSize     = 256
	defaultTrainTime    = time.Second
	defaultModel        = "draft"
	defaultPromptBytes  = 200

	callTimeout   = 5 * time.Second
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxProblems limits the number of problem descriptions in a summary.
	maxProblems = 20
	// emptyPullDelay prevents a busy loop when pulls return empty immediately.
	emptyPullDelay = 20 * time.Millisecond
)

type (
	// Trainer is a simulated trainer. Run may be called once. See New.
	Trainer struct {
		config config
		rng    *rand.Rand
		// entryIndex selects the entry of the next call.
		entryIndex int
		cursor     string
		published  int64
		// groups holds the submitted groups by ID.
		groups map[string]groupMessage
		// received holds the IDs of received samples.
		received map[string]bool
		// missing is the number of missing samples by step.
		missing   map[int]int
		sum       summary
		staleness stat.Series
		steps     stat.Series
	}

	// Option configures a Trainer in New.
	Option func(*config)

	config struct {
		// groupIDPrefix makes group IDs differ between runs of one trainer.
		groupIDPrefix string
		name          string
		entries       []string
		weightStore   string
		http          *http.Client
		model         string
		steps         int
		groups        int
		groupSize     int
		maxTokens     int64
		maxStaleness  int64
		firstVersion  int64
		versionBytes  int64
		prompt        int
		trainTime     time.Duration
		stepsAhead    int
		pullWait      time.Duration
		pullSize      int
		seed          uint64
		responseLoss  float64
		score         func(prompt, text string) float64
	}

	// summary is the result of a run. All counts but the first three are 0 if every
	// guarantee held and no call failed.
	summary struct {
		Subscription string `json:"subscription"`
		Steps        int    `json:"steps"`
		Samples      int64  `json:"samples"`
		Tokens       int64  `json:"tokens"`
		// Duplicates counts samples that were already delivered.
		Duplicates int64 `json:"duplicates"`
		// Stale counts samples beyond the staleness bound at delivery.
		Stale int64 `json:"stale"`
		// Mismatched counts samples whose text stems from other weights or another
		// prompt.
		Mismatched int64 `json:"mismatched"`
		// Unknown counts samples that were never requested.
		Unknown int64 `json:"unknown"`
		// Misscored counts samples with the score of another text.
		Misscored int64 `json:"misscored"`
		// FailedCalls counts failed calls, which were retried.
		FailedCalls int64 `json:"failures"`
		// DroppedResponses counts pull responses that the trainer dropped deliberately.
		DroppedResponses int64 `json:"lost"`
		// Resubmitted counts resubmitted groups, which the service had lost.
		Resubmitted   int64   `json:"resubmitted"`
		Seconds       float64 `json:"seconds"`
		IdleSeconds   float64 `json:"idleSeconds"`
		IdleShare     float64 `json:"idleShare"`
		StalenessMean float64 `json:"stalenessMean"`
		StalenessMax  float64 `json:"stalenessMax"`
		StepMedian    float64 `json:"stepSecondsMedian"`
		StepMax       float64 `json:"stepSecondsMax"`
		// Problems describes the first violations.
		Problems []string `json:"problems"`
	}
)

// New returns a trainer for the subscription name that calls the entries.
//
//	t := simtrn.New("notices", []string{"http://127.0.0.1:8000"}, simtrn.WithSteps(5))
//	sum, err := t.Run(ctx)
func New(name string, entries []string, opts ...Option) *Trainer {
	t := &Trainer{
		config:   defaults(name, entries),
		groups:   make(map[string]groupMessage),
		received: make(map[string]bool),
		missing:  make(map[int]int),
	}
	for _, opt := range opts {
		opt(&t.config)
	}
	t.rng = rand.New(rand.NewPCG(t.config.seed, 1))
	t.published = t.config.firstVersion
	return t
}

// Run trains all steps and returns the summary. A failed call is retried until ctx
// ends; then Run returns the summary so far and ctx's error.
func (t *Trainer) Run(ctx context.Context) (summary, error) {
	begin := time.Now()
	err := t.run(ctx)
	t.sum.Subscription = t.config.name
	t.sum.Seconds = time.Since(begin).Seconds()
	if t.sum.Seconds > 0 {
		t.sum.IdleShare = t.sum.IdleSeconds / t.sum.Seconds
	}
	t.sum.StalenessMean = t.staleness.Mean()
	t.sum.StalenessMax = t.staleness.Quantile(1)
	t.sum.StepMedian = t.steps.Quantile(0.5)
	t.sum.StepMax = t.steps.Quantile(1)
	return t.sum, err
}

// Violations returns the number of violations of guarantees about samples.
func (s summary) Violations() int64 {
	return s.Duplicates + s.Stale + s.Mismatched + s.Unknown + s.Misscored
}

func (t *Trainer) run(ctx context.Context) error {
	// A restarted trainer resumes from the cursor of the previous run.
	var pos positionResponse
	if err := t.call(ctx, "/position", callTimeout, struct{}{}, &pos); err != nil {
		return err
	}
	t.cursor = pos.Cursor
	if err := t.publish(ctx, t.config.firstVersion); err != nil {
		return err
	}
	submitted := 0
	for step := 1; step <= t.config.steps; step++ {
		// Submit steps ahead, so that engines have work while the trainer trains.
		for submitted < min(step+t.config.stepsAhead, t.config.steps) {
			submitted++
			if err := t.submit(ctx, submitted); err != nil {
				return err
			}
		}
		begin := time.Now()
		err := t.pullStep(ctx, step)
		idle := time.Since(begin).Seconds()
		t.sum.IdleSeconds += idle
		if err != nil {
			return err
		}
		t.steps.Add(idle)
		t.sum.Steps++
		simsrv.Sleep(ctx, t.config.trainTime)
		if err := t.publish(ctx, t.config.firstVersion+int64(step)); err != nil {
			return err
		}
	}
	return t.acknowledge(ctx)
}

// pullStep pulls until the step is complete.
func (t *Trainer) pullStep(ctx context.Context, step int) error {
	for t.missing[step] > 0 {
		var resp pullResponse
		wait := t.config.pullWait
		in := pullRequest{Cursor: t.cursor, Published: strconv.FormatInt(t.published, 10), Max: t.config.pullSize, WaitMs: wait.Milliseconds()}
		if err := t.call(ctx, "/pull", wait+callTimeout, in, &resp); err != nil {
			return err
		}
		if t.rng.Float64() < t.config.responseLoss {
			t.sum.DroppedResponses++
			continue
		}
		t.cursor = resp.Cursor
		for _, s := range resp.Samples {
			t.receive(s)
		}
		if len(resp.Samples) > 0 {
			continue
		}
		if err := t.resubmitLost(ctx, resp); err != nil {
			return err
		}
		simsrv.Sleep(ctx, emptyPullDelay)
	}
	return nil
}

// resubmitLost resubmits groups that the service has lost with an instance: those
// that it reports as missing, and all incomplete groups if it has fewer open samples
// than the trainer misses. Resubmitting a known group has no effect.
func (t *Trainer) resubmitLost(ctx context.Context, resp pullResponse) error {
	lost := make(map[string]bool)
	for _, id := range resp.Missing {
		lost[id] = true
	}
	var in groupsRequest
	for _, id := range slices.Sorted(maps.Keys(t.groups)) {
		if lost[id] || resp.Open < t.missingSamples() && t.isIncomplete(t.groups[id]) {
			in.Groups = append(in.Groups, t.groups[id])
		}
	}
	if len(in.Groups) == 0 {
		return nil
	}
	t.sum.Resubmitted += int64(len(in.Groups))
	return t.call(ctx, "/groups", callTimeout, in, nil)
}

func (t *Trainer) missingSamples() int64 {
	n := 0
	for _, missing := range t.missing {
		n += missing
	}
	return int64(n)
}

func (t *Trainer) isIncomplete(g groupMessage) bool {
	for i := range g.Samples {
		if !t.received[g.sampleID(i)] {
			return true
		}
	}
	return false
}

// acknowledge sends the last cursor, so that the service can drop the last offer.
func (t *Trainer) acknowledge(ctx context.Context) error {
	var resp pullResponse
	in := pullRequest{Cursor: t.cursor, Published: strconv.FormatInt(t.published, 10), Max: t.config.pullSize}
	if err := t.call(ctx, "/pull", callTimeout, in, &resp); err != nil {
		return err
	}
	t.cursor = resp.Cursor
	for _, s := range resp.Samples {
		t.receive(s)
	}
	return nil
}

func (t *Trainer) submit(ctx context.Context, step int) error {
	var in groupsRequest
	for i := range t.config.groups {
		g := groupMessage{
			ID:        fmt.Sprintf("%ss%d-g%d", t.config.groupIDPrefix, step, i),
			Step:      step,
			Prompt:    t.makePrompt(step, i),
			Samples:   t.config.groupSize,
			MaxTokens: t.config.maxTokens,
		}
		in.Groups = append(in.Groups, g)
		t.groups[g.ID] = g
	}
	t.missing[step] = t.config.groups * t.config.groupSize
	return t.call(ctx, "/groups", callTimeout, in, nil)
}

// makePrompt returns a prompt that shares a prefix with all others of the trainer,
// like those of real trainers, and has a unique end.
func (t *Trainer) makePrompt(step, group int) string {
	const prefix = "Draft a notice to the creditors of the company. "
	suffix := fmt.Sprintf("%s step %d case %d seed %d", t.config.name, step, group, t.config.seed)
	repeats := max(0, t.config.prompt-len(suffix)) / len(prefix)
	return strings.Repeat(prefix, repeats) + suffix
}

// publish puts a version in the weight store and announces it to the service.
// Staleness counts from before the announcement, when the version counts as
// published.
func (t *Trainer) publish(ctx context.Context, version int64) error {
	v := strconv.FormatInt(version, 10)
	if t.config.weightStore != "" {
		path := "/v1/models/" + t.config.model + "/versions/" + v
		put := func(ctx context.Context) error {
			c := rest.New("weight store", t.config.weightStore, rest.WithHTTP(t.config.http))
			return c.Do(ctx, http.MethodPut, path, weightsMessage{Bytes: t.config.versionBytes}, nil)
		}
		if err := t.retry(ctx, callTimeout, put); err != nil {
			return err
		}
	}
	t.published = version
	return t.call(ctx, "/weights", callTimeout, versionMessage{Version: v}, nil)
}

// call sends a request to one entry after another until one succeeds.
func (t *Trainer) call(ctx context.Context, path string, timeout time.Duration, in, out any) error {
	return t.retry(ctx, timeout, func(ctx context.Context) error {
		base := t.config.entries[t.entryIndex%len(t.config.entries)]
		c := rest.New("lavendermux", base, rest.WithHTTP(t.config.http))
		err := c.Do(ctx, http.MethodPost, "/v1/subscriptions/"+t.config.name+path, in, out)
		if err != nil {
			t.entryIndex++
		}
		return err
	})
}

// retry calls do until it succeeds, ctx ends, or the service rejects the request as
// invalid. It uses exponential backoff with jitter, so that many trainers don't all
// return at the same moment after an outage.
func (t *Trainer) retry(ctx context.Context, timeout time.Duration, do func(context.Context) error) error {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := withTimeout(ctx, timeout, do)
		var status *rest.StatusError
		invalid := errors.As(err, &status) && status.Status == http.StatusBadRequest
		if err == nil || invalid {
			return err
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), err.Error())
		}
		t.sum.FailedCalls++
		simsrv.Sleep(ctx, time.Duration((0.5+t.rng.Float64()/2)*float64(delay)))
	}
}

func withTimeout(ctx context.Context, timeout time.Duration, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx)
}

package rrun

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/feed"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/sample"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// minScoreBackoff and maxScoreBackoff bound the backoff between scoring attempts. A
	// scorer that is down eventually gets two requests per minute for each sample.
	minScoreBackoff = 100 * time.Millisecond
	maxScoreBackoff = 30 * time.Second
	// replicateTimeout bounds the replication of a finished sample to a disk.
	replicateTimeout = 5 * time.Second
)

// unattributedError ends an attempt with a segment that has no version: the sample
// could not be delivered, so finishing it would waste the engine's time.
type unattributedError struct{}

func (unattributedError) Error() string { return "segment has no weight version" }

// runAttempt runs one attempt: it generates, scores, reports and replicates the sample.
func (m *Runner) runAttempt(ctx context.Context, p pool.Pool, a *attempt) {
	s, err := m.generate(ctx, p, a)
	if err != nil {
		m.fail(a, err)
		return
	}
	if err := m.score(ctx, p, a, s); err != nil {
		m.fail(a, err)
		return
	}
	first, others := a.feed.ReportSample(a.trial.ID, s)
	m.finish(a)
	if !first {
		return
	}
	m.stopAll(others)
	keep, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	if err := m.replicator.KeepSample(keep, a.feed.Name(), *s); err != nil {
		m.log.Debug("sample is in memory only", "sample", s.ID, "err", err)
	}
}

func (m *Runner) generate(ctx context.Context, p pool.Pool, a *attempt) (*sample.Sample, error) {
	s, err := feed.NewSample(a.trial.SampleID)
	if err != nil {
		return nil, err
	}
	for _, seg := range a.trial.Prior {
		s.Append(seg.GetVersion(), seg.GetTokens(), seg.GetText())
	}
	a.segments = a.trial.Prior
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(stallTimeout, cancel)
	defer watchdog.Stop()
	end, err := m.relay.Generate(ctx, p.Service, m.request(a), func(seg *wire.Segment) error {
		watchdog.Reset(stallTimeout)
		if seg.GetVersion() == "" {
			return unattributedError{}
		}
		s.Append(seg.GetVersion(), seg.GetTokens(), seg.GetText())
		a.segments = append(a.segments, seg)
		a.feed.ReportProgress(a.trial.ID, seg.GetTokens())
		return nil
	}, func(worker string) {
		watchdog.Reset(stallTimeout)
		a.feed.ReportWorker(a.trial.ID, worker)
	}, m.avoidWorkers(p, a)...)
	if err != nil {
		return nil, err
	}
	s.Finish = end.GetFinish()
	return s, nil
}

func (m *Runner) request(a *attempt) *wire.RunRequest {
	return &wire.RunRequest{
		RequestId:      a.trial.ID,
		Caller:         a.feed.Name(),
		Pool:           m.name,
		Model:          a.model,
		Prompt:         a.trial.Prompt,
		MaxTokens:      a.trial.MaxTokens,
		Kind:           wire.WorkKind_WORK_KIND_ROLLOUT,
		Prior:          a.trial.Prior,
		ExpectedTokens: a.trial.ExpectedLength,
	}
}

// avoidWorkers returns the workers that must not get the attempt: the one excluded by the
// planner, those that have not switched yet during a rollout of weights, those in the
// live role, which take no rollouts, and those whose weights are unknown or too old, for
// example after a restart of the engine, since their samples would be discarded.
func (m *Runner) avoidWorkers(p pool.Pool, a *attempt) []string {
	out := m.excluded(a.model)
	if a.trial.AvoidWorker != "" {
		out = append(out, a.trial.AvoidWorker)
	}
	for _, ep := range m.fleet.Endpoints(p.Service) {
		if ep.GetRole() == order.RoleLive || !a.feed.Fresh(versionAt(ep, a.model)) {
			out = append(out, ep.GetInstance())
		}
	}
	return out
}

// versionAt returns the version of a model at an endpoint, or "" if unknown.
func versionAt(ep *wire.EndpointState, model string) string {
	for _, ms := range ep.GetModels() {
		if ms.GetModel() == model {
			return ms.GetVersion()
		}
	}
	return ""
}

// score retries until the scorer responds: the sample is finished, and generating it
// again would cost far more than waiting.
func (m *Runner) score(ctx context.Context, p pool.Pool, a *attempt, s *sample.Sample) error {
	if p.Scorer == "" {
		return nil
	}
	wait := minScoreBackoff
	for {
		score, err := m.scorer(p.Scorer).Score(ctx, s.ID, a.trial.Prompt, s.Text)
		if err == nil {
			s.Score = &score
			return nil
		}
		m.log.Warn("scoring failed", "sample", s.ID, "err", err)
		timer := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		}
		wait = min(2*wait, maxScoreBackoff)
	}
}

// fail releases the slot of a failed attempt. An attempt that was rejected before it
// ran does not count as a failure.
func (m *Runner) fail(a *attempt, err error) {
	stopped := m.finish(a)
	var notRun *fault.NotRunError
	if errors.As(err, &notRun) && !stopped {
		a.feed.ReportRejection(a.trial.ID, notRun.RetryAfter)
		return
	}
	if errors.As(err, &unattributedError{}) {
		a.feed.Unattributed()
	}
	if !stopped {
		m.log.Info("attempt failed", "sample", a.trial.SampleID, "err", err)
	}
	a.feed.ReportFailure(a.trial.ID, countTokens(a.segments), stopped)
}

func countTokens(segs []*wire.Segment) int64 {
	n := int64(0)
	for _, s := range segs {
		n += s.GetTokens()
	}
	return n
}

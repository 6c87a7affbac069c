// Package retry decides whether and when a request is retried, and whether it is hedged.
//
// When endpoints refuse or fail and every caller retries, a fleet at its capacity
// limit gets several times its load exactly when it can't carry it, and stays
// down after the cause has gone. A retry budget, a ratio of the requests sent,
// keeps the total load within 1+ratio times the first attempts. Without jitter,
// all retries would arrive at the same moment.
//
// A request that may have run is retried only when it is idempotent. One that is
// not is retried only when it certainly did not run.
//
// A hedge is a second copy of a request whose first attempt is still running. It is
// worth its cost only for short work and where it can still be in time, which the
// caller of Hedge decides. The entries of the product's own API send none: with
// failing endpoints ejected, hedges brought at most a tenth of a percent more
// answers in time and, on long work, wasted nine percent of all tokens; see
// docs/measured/load.md. Package proxy sends them for plain services, whose
// requests take a fraction of their latency objective.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	defaultRatio       = 0.1
	defaultBurst       = 10
	defaultBaseBackoff = 25 * time.Millisecond
	defaultMaxBackoff  = 4 * time.Second
	defaultMaxAttempts = 3
)

// Budget is the budget of one entry for the retries, or for the hedges, of one
// service. It is not safe for concurrent use.
type Budget struct {
	ratio       float64
	burst       float64
	baseBackoff time.Duration
	maxBackoff  time.Duration
	maxAttempts int
	balance     float64
}

// New returns a full budget.
//
//	b := retry.New(retry.WithBurst(20))
//	wait, ok := b.Retry(err, idempotent, attempt, rng)
func New(opts ...Option) *Budget {
	b := &Budget{
		ratio:       defaultRatio,
		burst:       defaultBurst,
		baseBackoff: defaultBaseBackoff,
		maxBackoff:  defaultMaxBackoff,
		maxAttempts: defaultMaxAttempts,
	}
	for _, opt := range opts {
		opt(b)
	}
	b.balance = b.burst
	return b
}

// Deposit counts the first attempt of a request, which earns a fraction of a retry.
func (b *Budget) Deposit() {
	b.balance = min(b.balance+b.ratio, b.burst)
}

// Retry decides whether an attempt that failed with err is followed by another,
// and after which wait. attempt counts from 1. An allowed retry is withdrawn from
// the budget.
//
// A refusal with a retry delay is not retried here: the sidecar has found that
// the request can't finish before its deadline, and waiting only brings the
// deadline nearer. The caller is told at once.
func (b *Budget) Retry(err error, idempotent bool, attempt int, rng *rand.Rand) (wait time.Duration, ok bool) {
	if err == nil || attempt >= b.maxAttempts {
		return 0, false
	}
	var notRun *fault.NotRunError
	refused := errors.As(err, &notRun)
	if refused && notRun.RetryAfter > 0 {
		return 0, false
	}
	if !refused && !idempotent {
		// The request may have run; repeating it could execute it twice.
		return 0, false
	}
	if !b.withdraw() {
		return 0, false
	}
	return b.backoff(attempt, rng), true
}

// Failover decides whether a refused request goes to its second choice at once. It
// withdraws from the budget like a retry but needs no wait, since another
// endpoint is asked.
func (b *Budget) Failover(err error, attempt int) bool {
	var notRun *fault.NotRunError
	if !errors.As(err, &notRun) || attempt >= b.maxAttempts {
		return false
	}
	return b.withdraw()
}

// Hedge decides whether a second copy of a request may go out while the first attempt
// is still running. An allowed hedge is withdrawn from the budget.
func (b *Budget) Hedge() bool { return b.withdraw() }

func (b *Budget) withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// backoff draws the wait uniformly from 0 to a bound that doubles with each
// attempt (full jitter), so that the retries of simultaneous failures spread over
// the whole bound.
func (b *Budget) backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := b.baseBackoff
	for range attempt - 1 {
		bound = min(bound*2, b.maxBackoff)
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

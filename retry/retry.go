// Package retry decides whether a request may be sent again, and when.
//
// The load it answers: an endpoint refuses or fails, and everyone who asked asks
// again. Without a budget a fleet at its limit then gets several times its load
// exactly when it can't carry it, and stays down after the cause has gone;
// without jitter all come back in the same moment.
//
// A request that may have run is sent again only when it is idempotent; one that
// may not be repeated is sent again only after a true "not run". Retries draw on
// a budget, a share of the requests sent, so that the whole load never exceeds
// 1+share times the first attempts.
//
// There are no hedges (a second copy of slow work): with failing endpoints set
// aside they brought at most a tenth of a percent more answers in time, and on
// long work they wasted nine percent of all tokens; see docs/measured/load.md.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	defaultShare    = 0.1
	defaultBurst    = 10
	defaultFirst    = 25 * time.Millisecond
	defaultMost     = 4 * time.Second
	defaultAttempts = 3
)

// Budget is the retries that one entry may still spend, on one service. It isn't
// safe for concurrent use.
type Budget struct {
	share    float64
	burst    float64
	first    time.Duration
	most     time.Duration
	attempts int
	left     float64
}

// New returns a full budget.
//
//	b := retry.New(retry.WithShare(0.1))
//	wait, ok := b.Retry(err, idempotent, attempt, rng)
func New(opts ...Option) *Budget {
	b := &Budget{
		share:    defaultShare,
		burst:    defaultBurst,
		first:    defaultFirst,
		most:     defaultMost,
		attempts: defaultAttempts,
	}
	for _, opt := range opts {
		opt(b)
	}
	b.left = b.burst
	return b
}

// Sent counts the first attempt of a request, which earns a share of a retry.
func (b *Budget) Sent() {
	b.left = min(b.left+b.share, b.burst)
}

// Retry decides after an attempt that failed with err whether another follows,
// and after which wait. Attempt counts from 1. A retry that is allowed is spent.
//
// A refusal with a time to come back isn't retried here: the door has found that
// the request can't end before its deadline, and to hold it only brings the
// deadline nearer. The caller is told at once.
func (b *Budget) Retry(err error, idempotent bool, attempt int, rng *rand.Rand) (wait time.Duration, ok bool) {
	if err == nil || attempt >= b.attempts {
		return 0, false
	}
	var notRun *fault.NotRunError
	refused := errors.As(err, &notRun)
	if refused && notRun.RetryAfter > 0 {
		return 0, false
	}
	if !refused && !idempotent {
		// The request may have run. A second copy would book a slot twice.
		return 0, false
	}
	if !b.spend() {
		return 0, false
	}
	return b.backoff(attempt, rng), true
}

// Second decides after a refusal whether the request goes to a second choice at
// once. It is spent like a retry, but needs no wait: another door is asked.
func (b *Budget) Second(err error, attempt int) bool {
	var notRun *fault.NotRunError
	if !errors.As(err, &notRun) || attempt >= b.attempts {
		return false
	}
	return b.spend()
}

func (b *Budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// The wait is drawn evenly from 0 to a bound that doubles (full jitter): callers
// that failed in one moment come back spread over the whole bound.
func (b *Budget) backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := b.first
	for range attempt - 1 {
		bound = min(bound*2, b.most)
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

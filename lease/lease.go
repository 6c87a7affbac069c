// Package lease elects one entry at a time to do a job, by a lease in the
// metadata store.
//
// The entry that creates the job's key under its own lease holds the job. The
// revision at which the key was created is the fencing token: each later holder
// has a greater one. A holder that was paused for longer than its lease may
// resume while another one holds the job. By its own clock it no longer claims
// the job, it learns of the loss at its next renewal, and what it sent before
// carries the lower token.
//
// Failover is safe because the key is created only if absent, and because the
// receivers of orders compare fencing tokens.
package lease

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// KeyPrefix is the prefix of the jobs' keys in the metadata store: jobs/<name>.
	KeyPrefix = "jobs/"
	// pollInterval is how often an entry that does not hold the job checks whether
	// it should try to acquire it. The check is local and sends no request.
	pollInterval = time.Second
	// renewalsPerTTL is how often a lease is renewed within its TTL; two consecutive
	// renewals may fail.
	renewalsPerTTL = 3
	// minBackoff and maxHolderBackoff bound a holder's exponential backoff after a
	// failed call. The maximum bounds the delay until the lease is renewed after an
	// outage.
	minBackoff       = 500 * time.Millisecond
	maxHolderBackoff = 5 * time.Second
	// maxCandidateBackoff bounds the backoff of entries that do not hold the job.
	maxCandidateBackoff = 15 * time.Second
	// eagerCandidates is how many candidates keep trying without a new delay after
	// a failed attempt.
	eagerCandidates = 2
	// smallJitter and largeJitter are the fractions by which delays are randomized.
	smallJitter = 0.1
	largeJitter = 0.5
)

type (
	// Elector competes for the lease of one job, renews it and releases it. It is
	// safe for concurrent use. See New and Run.
	Elector struct {
		store          store
		job            string
		instance       string
		address        string
		ttl            time.Duration
		safetyMargin   float64
		candidateDelay time.Duration
		candidates     func() []string
		lookupHolder   func(job string) (string, bool)
		onChange       func()
		seed           uint64
		log            *log.Logger

		mu   sync.Mutex
		rand *rand.Rand
		// nonce distinguishes this process from an earlier one on the same instance.
		nonce string
		// lease is 0 unless one was granted for the job.
		lease int64
		// renewedAt is when the last successful grant or renewal was sent.
		renewedAt time.Time
		// fence is the fencing token; 0 unless the job was acquired and not lost since.
		fence       int64
		vacantSince time.Time
		// cachedRank is this entry's rank among the candidates as of rankedAt.
		cachedRank int
		rankedAt   time.Time
	}

	// store is the part of the metadata store's client that is used here;
	// implemented by keyval.Client.
	store interface {
		Get(ctx context.Context, key string) (record.Record, error)
		Put(ctx context.Context, key string, value []byte, expect, lease int64) (int64, error)
		Grant(ctx context.Context, ttl time.Duration) (int64, error)
		Renew(ctx context.Context, lease int64) error
		Revoke(ctx context.Context, lease int64) error
	}

	// holderRecord is the stored value of a job's key.
	holderRecord struct {
		Holder  string `json:"holder"`
		Address string `json:"address"`
		Nonce   string `json:"nonce"`
	}
)

// New returns an Elector that competes for job on behalf of an instance.
//
//	e := lease.New(keyval.New(base), "deliver/tutor", "entry-3", lease.WithAddress(addr))
//	go e.Run(ctx)
func New(store store, job, instance string, opts ...Option) *Elector {
	e := &Elector{
		store:          store,
		job:            job,
		instance:       instance,
		ttl:            defaultTTL,
		safetyMargin:   defaultSafetyMargin,
		candidateDelay: defaultCandidateDelay,
		candidates:     func() []string { return []string{instance} },
		lookupHolder:   func(string) (string, bool) { return "", false },
		onChange:       func() {},
		seed:           1,
		log:            log.Default(),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.rand = rand.New(rand.NewPCG(e.seed, rendez.Score(job, instance)))
	e.nonce = strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(e.rand.Uint64(), 36)
	return e
}

// Job returns the job's name.
func (e *Elector) Job() string {
	return e.job
}

// Held returns the fencing token and true while the job is certainly held: from
// the sending of the last successful renewal for the TTL minus a safety margin, by
// the monotonic clock. A process that was paused for longer gets false as soon as
// it resumes, without any communication.
func (e *Elector) Held() (fence int64, ok bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence == 0 || !now.Before(e.safeUntil()) {
		return 0, false
	}
	return e.fence, true
}

// InDoubt returns the last fencing token and true when the job was held and the
// metadata store has not answered until the lease may have expired. Either the
// store is down for all entries and none can acquire the job, or this entry is
// partitioned from it and another one may hold the job.
func (e *Elector) InDoubt() (fence int64, ok bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence == 0 || now.Before(e.safeUntil()) {
		return 0, false
	}
	return e.fence, true
}

// Run competes for the job and keeps it until ctx ends, then releases it.
func (e *Elector) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		wait, err := e.step(ctx)
		if err != nil {
			wait = e.jitter(backoff, largeJitter)
			backoff = min(2*backoff, e.maxBackoff())
		} else {
			backoff = minBackoff
		}
		sleep.For(ctx, wait)
	}
	e.release()
}

// maxBackoff returns the greatest delay between two failing calls, before jitter.
func (e *Elector) maxBackoff() time.Duration {
	if e.isHolder() {
		return maxHolderBackoff * 2 / 3
	}
	return maxCandidateBackoff * 2 / 3
}

// step renews the lease or tries to acquire it, as due, and returns the delay
// until the next step.
func (e *Elector) step(ctx context.Context) (time.Duration, error) {
	if e.isHolder() {
		return e.jitter(e.ttl/renewalsPerTTL, smallJitter), e.renew(ctx)
	}
	if !e.shouldTry(time.Now()) {
		return e.jitter(pollInterval, smallJitter), nil
	}
	acquired, err := e.acquire(ctx)
	switch {
	case err != nil:
		e.postpone()
		return 0, err
	case acquired:
		return e.jitter(e.ttl/renewalsPerTTL, smallJitter), nil
	}
	e.postpone()
	return e.jitter(e.ttl/renewalsPerTTL, largeJitter), nil
}

// shouldTry reports whether this entry should try to acquire the job now: no holder
// is known, and the candidates that rank higher have had their time. Without it
// every entry would continually query the metadata store for every job.
func (e *Elector) shouldTry(now time.Time) bool {
	if holder, ok := e.lookupHolder(e.job); ok && holder != e.instance {
		e.mu.Lock()
		e.vacantSince = time.Time{}
		e.mu.Unlock()
		return false
	}
	rank := e.rank()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.vacantSince.IsZero() {
		e.vacantSince = now
	}
	return now.Sub(e.vacantSince) >= time.Duration(rank)*e.candidateDelay
}

// rank returns this entry's rank among the candidates. It is recomputed at most
// once per candidateDelay, since in a long outage all jobs of the fleet look vacant
// to all entries.
func (e *Elector) rank() int {
	now := time.Now()
	e.mu.Lock()
	cachedRank, fresh := e.cachedRank, !e.rankedAt.IsZero() && now.Sub(e.rankedAt) < e.candidateDelay
	e.mu.Unlock()
	if fresh {
		return cachedRank
	}
	candidates := e.candidates()
	cachedRank = rendez.Rank(e.job, candidates, e.instance)
	if cachedRank < 0 {
		cachedRank = len(candidates)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cachedRank, e.rankedAt = cachedRank, now
	return cachedRank
}

// postpone restarts the delay of a lower-ranking candidate when the metadata store
// did not answer, or named a holder that the membership does not. Otherwise, in a
// long outage or while the holder's region is partitioned, the delays of all
// candidates would run out and they would all query the store from then on.
func (e *Elector) postpone() {
	rank := e.rank()
	e.mu.Lock()
	defer e.mu.Unlock()
	if rank >= eagerCandidates {
		e.vacantSince = time.Now()
	}
}

func (e *Elector) isHolder() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence != 0
}

// safeUntil returns when the job is no longer certainly held. The caller holds mu.
func (e *Elector) safeUntil() time.Time {
	return e.renewedAt.Add(time.Duration(float64(e.ttl) * (1 - e.safetyMargin)))
}

func (e *Elector) jitter(d time.Duration, fraction float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(d) * (1 + fraction*(2*e.rand.Float64()-1)))
}

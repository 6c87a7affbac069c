// Package lease keeps a job in the hands of one entry at a time, by a lease in
// the key-value service.
//
// Whoever creates the job's key under a lease of its own holds the job. The
// revision at which the key was created is the job's fencing number: each later
// holder has a greater one. A holder that was paused past its term may wake up
// while another one holds the job; it is told so at its next renewal, claims
// nothing in between by its own clock, and whatever it has sent before carries
// the lesser number.
//
// The two calls that make a take-over safe are the write that creates the key
// only if it is absent, and the comparison of fencing numbers where the orders
// arrive.
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
	// Prefix is where the jobs live in the key-value service, as jobs/<name>.
	Prefix = "jobs/"
	// look is how often an entry that does not hold the job looks whether it is
	// its turn; this asks nobody.
	look = time.Second
	// renewals is how often the lease is renewed in one term: two may fail.
	renewals = 3
	// firstBackoff and lastBackoff bound the wait of a holder after a failed
	// call, which doubles; the last one is how late a job is renewed after an
	// outage.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 5 * time.Second
	// lastTry bounds the wait of those who do not hold the job.
	lastTry = 15 * time.Second
	// eager is how many candidates go on trying at once when an attempt failed.
	eager = 2
	// narrow and wide are the shares by which waits are spread.
	narrow = 0.1
	wide   = 0.5
)

type (
	// Keeper competes for one job, renews it, and hands it back. It is safe for
	// concurrent use. See New and Run.
	Keeper struct {
		service    service
		job        string
		holder     string
		address    string
		term       time.Duration
		margin     float64
		step       time.Duration
		candidates func() []string
		known      func(job string) (string, bool)
		change     func()
		seed       uint64
		log        *log.Logger

		mu   sync.Mutex
		rand *rand.Rand
		// nonce tells this process from an earlier one on the same instance.
		nonce string
		// lease is 0 unless one was granted for the job.
		lease int64
		// granted is when the last grant or renewal that succeeded was sent.
		granted time.Time
		// fence is 0 unless the job was held and not lost since.
		fence  int64
		vacant time.Time
		// place is this entry's rank among the candidates as of placedAt.
		place    int
		placedAt time.Time
	}

	// service is what a keeper needs of the key-value service; keyval.Client has
	// it.
	service interface {
		Get(ctx context.Context, key string) (record.Record, error)
		Put(ctx context.Context, key string, value []byte, expect, lease int64) (int64, error)
		Grant(ctx context.Context, ttl time.Duration) (int64, error)
		Renew(ctx context.Context, lease int64) error
		Revoke(ctx context.Context, lease int64) error
	}

	// claim is the value of a job's key.
	claim struct {
		Holder  string `json:"holder"`
		Address string `json:"address"`
		Nonce   string `json:"nonce"`
	}
)

// New returns a keeper that competes for job in the name of the instance holder.
//
//	k := lease.New(keyval.New(base), "deliver/tutor", "entry-3", lease.WithAddress(addr))
//	go k.Run(ctx)
func New(service service, job, holder string, opts ...Option) *Keeper {
	k := &Keeper{
		service:    service,
		job:        job,
		holder:     holder,
		term:       defaultTerm,
		margin:     defaultMargin,
		step:       defaultStep,
		candidates: func() []string { return []string{holder} },
		known:      func(string) (string, bool) { return "", false },
		change:     func() {},
		seed:       1,
		log:        log.Default(),
	}
	for _, opt := range opts {
		opt(k)
	}
	k.rand = rand.New(rand.NewPCG(k.seed, rendez.Score(job, holder)))
	k.nonce = strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(k.rand.Uint64(), 36)
	return k
}

// Job returns the job's name.
func (k *Keeper) Job() string {
	return k.job
}

// Held returns the fencing number and true while the job is surely held: for
// the term less a margin since the last renewal that succeeded was sent, by the
// monotonic clock. A process that was paused for longer finds false when it
// wakes up, before it has talked to anyone.
func (k *Keeper) Held() (fence int64, ok bool) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence == 0 || !now.Before(k.sureUntil()) {
		return 0, false
	}
	return k.fence, true
}

// InDoubt returns the last fencing number and true when the job was held and the
// service has been silent past the term since: either it is down for all, and
// nobody can take over, or this entry is cut off and somebody has.
func (k *Keeper) InDoubt() (fence int64, ok bool) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence == 0 || now.Before(k.sureUntil()) {
		return 0, false
	}
	return k.fence, true
}

// Run competes for the job and keeps it until ctx ends, then hands it back.
func (k *Keeper) Run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		wait, err := k.act(ctx)
		if err != nil {
			wait = k.jitter(backoff, wide)
			backoff = min(2*backoff, k.longest())
		} else {
			backoff = firstBackoff
		}
		sleep.For(ctx, wait)
	}
	k.handBack()
}

// longest returns the longest wait between two calls that fail, before jitter.
func (k *Keeper) longest() time.Duration {
	if k.holding() {
		return lastBackoff * 2 / 3
	}
	return lastTry * 2 / 3
}

// act does what is next and returns how long to wait until the one after.
func (k *Keeper) act(ctx context.Context) (time.Duration, error) {
	if k.holding() {
		return k.jitter(k.term/renewals, narrow), k.renew(ctx)
	}
	if !k.isTurn(time.Now()) {
		return k.jitter(look, narrow), nil
	}
	won, err := k.acquire(ctx)
	switch {
	case err != nil:
		k.missed()
		return 0, err
	case won:
		return k.jitter(k.term/renewals, narrow), nil
	}
	k.missed()
	return k.jitter(k.term/renewals, wide), nil
}

// isTurn tells whether this entry is to try now: nobody is known to hold the job,
// and the candidates before this one have had their time. Without it each entry
// would ask the service for each job all the time.
func (k *Keeper) isTurn(now time.Time) bool {
	if instance, ok := k.known(k.job); ok && instance != k.holder {
		k.mu.Lock()
		k.vacant = time.Time{}
		k.mu.Unlock()
		return false
	}
	rank := k.rank()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.vacant.IsZero() {
		k.vacant = now
	}
	return now.Sub(k.vacant) >= time.Duration(rank)*k.step
}

// rank returns this entry's place among the candidates, computed anew once in a
// step: in an outage all jobs of the fleet look vacant to all entries, for long.
func (k *Keeper) rank() int {
	now := time.Now()
	k.mu.Lock()
	place, fresh := k.place, !k.placedAt.IsZero() && now.Sub(k.placedAt) < k.step
	k.mu.Unlock()
	if fresh {
		return place
	}
	candidates := k.candidates()
	place = rendez.Rank(k.job, candidates, k.holder)
	if place < 0 {
		place = len(candidates)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.place, k.placedAt = place, now
	return place
}

// missed starts the wait of the later candidates anew when the service did not
// answer, or named a holder that the membership does not. In a long outage, or
// while the holder's region is cut off, the time of all of them would come, and
// they would ask the service together from then on.
func (k *Keeper) missed() {
	rank := k.rank()
	k.mu.Lock()
	defer k.mu.Unlock()
	if rank >= eager {
		k.vacant = time.Now()
	}
}

func (k *Keeper) holding() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence != 0
}

// sureUntil is called with the lock held.
func (k *Keeper) sureUntil() time.Time {
	return k.granted.Add(time.Duration(float64(k.term) * (1 - k.margin)))
}

func (k *Keeper) jitter(d time.Duration, share float64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Duration(float64(d) * (1 + share*(2*k.rand.Float64()-1)))
}

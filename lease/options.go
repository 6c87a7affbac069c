package lease

import (
	"time"

	"github.com/charmbracelet/log"
)

const (
	// defaultTerm is how long a job stays without a holder at most after its
	// holder died. A renewal every third of it costs one write in 5 seconds for
	// each job; a shorter term would cost more writes and lose jobs in a pause
	// of the key-value service that nobody else notices.
	defaultTerm = 15 * time.Second
	// defaultMargin is the share of the term that a holder gives away: its clock
	// and the service's may run at different speeds, and its last order takes a
	// while to arrive.
	defaultMargin = 0.2
	// defaultStep is by how much each further candidate waits longer than the one
	// before it. A new holder is known everywhere within about 10 seconds, so
	// that of hundreds of candidates three or four ask the service at all.
	defaultStep = 5 * time.Second
)

type (
	// Option changes a Keeper as New makes it.
	Option func(*Keeper)
)

// WithAddress sets the address that the job's record names. The default is
// empty.
func WithAddress(address string) Option {
	return func(k *Keeper) { k.address = address }
}

// WithTerm sets the term of the lease. The default is 15 seconds.
func WithTerm(d time.Duration) Option {
	return func(k *Keeper) { k.term = d }
}

// WithStep sets by how much each further candidate waits longer before it tries.
// The default is 5 seconds.
func WithStep(d time.Duration) Option {
	return func(k *Keeper) { k.step = d }
}

// WithCandidates sets who may hold the job: the live entries, this one included.
// By default this entry is the only one.
func WithCandidates(candidates func() []string) Option {
	return func(k *Keeper) { k.candidates = candidates }
}

// WithHolder sets what the membership says of who surely holds a job: a
// fleet.View's SureHolder. While it names another entry this one does not ask the
// service. By default nobody is known.
func WithHolder(holder func(job string) (instance string, ok bool)) Option {
	return func(k *Keeper) { k.known = holder }
}

// WithChange sets what is called after the state changed, outside of any lock.
// It must return soon. The default does nothing.
func WithChange(change func()) Option {
	return func(k *Keeper) { k.change = change }
}

// WithSeed sets the seed of the jitter. The default is 1; each instance should
// have its own.
func WithSeed(seed uint64) Option {
	return func(k *Keeper) { k.seed = seed }
}

// WithLogger sets where the keeper logs. The default is log.Default.
func WithLogger(l *log.Logger) Option {
	return func(k *Keeper) { k.log = l }
}

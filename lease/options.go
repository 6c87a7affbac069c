package lease

import (
	"time"

	"github.com/charmbracelet/log"
)

const (
	// defaultTTL is how long the lease of a holder that died lasts at most. A
	// renewal every third of it costs one write in 5 seconds for each job. A
	// shorter TTL would cost more writes and lose jobs in pauses of the metadata
	// store that have no other effect.
	defaultTTL = 15 * time.Second
	// defaultSafetyMargin is the fraction of the TTL during which a holder no longer
	// claims the job: its clock and the metadata store's may run at different
	// speeds, and its last order takes a while to arrive.
	defaultSafetyMargin = 0.2
	// defaultCandidateDelay is the extra delay of each candidate relative to the
	// next higher-ranking one. A new holder is known everywhere within about 10
	// seconds, so of hundreds of candidates only three or four query the metadata
	// store.
	defaultCandidateDelay = 5 * time.Second
)

type (
	// Option configures an Elector; see New.
	Option func(*Elector)
)

// WithAddress sets the holder's address in the job's record. The default is empty.
func WithAddress(address string) Option {
	return func(e *Elector) { e.address = address }
}

// WithTTL sets the TTL of the lease. The default is 15 seconds.
func WithTTL(d time.Duration) Option {
	return func(e *Elector) { e.ttl = d }
}

// WithCandidateDelay sets the extra delay of each candidate relative to the next
// higher-ranking one. The default is 5 seconds.
func WithCandidateDelay(d time.Duration) Option {
	return func(e *Elector) { e.candidateDelay = d }
}

// WithCandidates sets a function that returns the candidates for the job: the live
// entries, this one included. By default this entry is the only one.
func WithCandidates(candidates func() []string) Option {
	return func(e *Elector) { e.candidates = candidates }
}

// WithHolderLookup sets a function that returns the certain holder of a job according to
// the membership, such as ConfirmedHolder of a fleet.View. While it names another entry,
// this one does not query the metadata store. By default no holder is known.
func WithHolderLookup(holder func(job string) (instance string, ok bool)) Option {
	return func(e *Elector) { e.lookupHolder = holder }
}

// WithOnChange sets a callback for changes of Held or InDoubt. It is called without
// locks held and must return soon. The default does nothing.
func WithOnChange(onChange func()) Option {
	return func(e *Elector) { e.onChange = onChange }
}

// WithSeed sets the seed of the jitter. The default is 1; each instance should
// have its own.
func WithSeed(seed uint64) Option {
	return func(e *Elector) { e.seed = seed }
}

// WithLogger sets the logger. The default is log.Default.
func WithLogger(l *log.Logger) Option {
	return func(e *Elector) { e.log = l }
}

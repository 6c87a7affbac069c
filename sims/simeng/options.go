package simeng

import (
	"net/http"
	"time"
)

func defaults() config {
	return config{
		models:      make(map[string]string),
		role:        defaultRole,
		slots:       defaultSlots,
		queue:       defaultQueue,
		streamRate:  defaultStreamRate,
		totalRate:   defaultTotalRate,
		prefillRate: defaultPrefillRate,
		tick:        defaultTick,
		minLength:   defaultMinLength,
		tail:        defaultTail,
		cacheBlocks: defaultCacheBlocks,
		stageTime:   defaultStageTime,
		switchTime:  defaultSwitchTime,
		loadLag:     defaultLoadLag,
		eventLag:    defaultEventLag,
		eventGap:    defaultEventGap,
		http:        http.DefaultClient,
		checksFence: true,
	}
}

// WithModel adds a model and the version that is in use from the start. The
// default is none.
func WithModel(model, version string) Option {
	return func(c *config) { c.models[model] = version }
}

// WithRole sets the role at the start. The default is "rollout".
func WithRole(role string) Option {
	return func(c *config) { c.role = role }
}

// WithSeed sets what lengths and gaps are drawn from. The default is 0.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

// WithSlots sets how many streams run at a time, and how many more may wait.
// The default is 16 and 256.
func WithSlots(slots, queue int) Option {
	return func(c *config) {
		c.slots = slots
		c.queue = queue
	}
}

// WithPreemption makes a request of greater priority take the slot of one of
// lesser priority, which waits again. The default is that it does not.
func WithPreemption() Option {
	return func(c *config) { c.preempt = true }
}

// WithRates sets tokens a second: of one stream at most, of all streams in sum,
// and of prompts that are read. The default is 60, 600 and 8000.
func WithRates(stream, total, prefill float64) Option {
	return func(c *config) {
		c.streamRate = stream
		c.totalRate = total
		c.prefillRate = prefill
	}
}

// WithTick sets how often a stream sends what it has made. The default is 50 ms.
func WithTick(d time.Duration) Option {
	return func(c *config) { c.tick = d }
}

// WithLength sets the distribution of lengths, a Pareto distribution: the least
// length in tokens and the exponent of its tail. The default is 40 and 1.5,
// whose median is 64 and whose mean is 120.
func WithLength(least, tail float64) Option {
	return func(c *config) {
		c.minLength = least
		c.tail = tail
	}
}

// WithCache sets how many blocks of 64 bytes of prompts the prefix cache holds.
// The default is 4096.
func WithCache(blocks int) Option {
	return func(c *config) { c.cacheBlocks = blocks }
}

// WithOrderTimes sets how long staging a version takes beside its transfer, and
// how long a switch pauses the streams of its model. The default is 200 ms and
// 300 ms.
func WithOrderTimes(stage, change time.Duration) Option {
	return func(c *config) {
		c.stageTime = stage
		c.switchTime = change
	}
}

// WithMemory sets how many versions of a model fit in memory, the one in use
// included. The default is 0, no limit.
func WithMemory(versions int) Option {
	return func(c *config) { c.memory = versions }
}

// WithLag sets how old the load in the engine's state is, how late cache events
// come, and which share of those is lost. The default is 1 s, 2 s and 0.05.
func WithLag(load, events time.Duration, lost float64) Option {
	return func(c *config) {
		c.loadLag = load
		c.eventLag = events
		c.eventGap = lost
	}
}

// WithWeights sets the weight store that staging fetches from. The default is
// none: staging takes only its own time.
func WithWeights(base string) Option {
	return func(c *config) { c.weights = base }
}

// WithHTTP sets the client that weights are fetched with. The default is
// http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *config) { c.http = h }
}

// WithoutFence makes the engine ignore fencing numbers. The default is that it
// refuses an old one.
func WithoutFence() Option {
	return func(c *config) { c.checksFence = false }
}

// WithoutVersions makes tokens carry no version. The default is that they do.
func WithoutVersions() Option {
	return func(c *config) { c.silent = true }
}

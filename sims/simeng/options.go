package simeng

import (
	"net/http"
	"time"
)

func defaults() config {
	return config{
		models:       make(map[string]string),
		role:         defaultRole,
		slots:        defaultSlots,
		queue:        defaultQueue,
		streamRate:   defaultStreamRate,
		totalRate:    defaultTotalRate,
		prefillRate:  defaultPrefillRate,
		tick:         defaultTick,
		minLength:    defaultMinLength,
		tailExponent: defaultTailExponent,
		cacheBlocks:  defaultCacheBlocks,
		stageTime:    defaultStageTime,
		switchTime:   defaultSwitchTime,
		loadLag:      defaultLoadLag,
		eventLag:     defaultEventLag,
		eventLoss:    defaultEventLoss,
		http:         http.DefaultClient,
		checksFence:  true,
	}
}

// WithModel adds a model and its initial version. The default is no model.
func WithModel(model, version string) Option {
	return func(c *config) { c.models[model] = version }
}

// WithRole sets the initial role. The default is "rollout".
func WithRole(role string) Option {
	return func(c *config) { c.role = role }
}

// WithSeed sets the random seed of answer lengths and event losses. The default
// is 0.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

// WithSlots sets the maximum number of concurrent streams and of queued ones. The
// defaults are 16 and 256.
func WithSlots(slots, queue int) Option {
	return func(c *config) {
		c.slots = slots
		c.queue = queue
	}
}

// WithPreemption lets a request preempt one of lower priority, which is queued
// again. The default is no preemption.
func WithPreemption() Option {
	return func(c *config) { c.preempt = true }
}

// WithRates sets rates in tokens per second: the maximum of one stream, the total
// of all streams, and prefill. The defaults are 60, 600 and 8000.
func WithRates(stream, total, prefill float64) Option {
	return func(c *config) {
		c.streamRate = stream
		c.totalRate = total
		c.prefillRate = prefill
	}
}

// WithTick sets the interval between the events of a stream. The default is
// 50 ms.
func WithTick(d time.Duration) Option {
	return func(c *config) { c.tick = d }
}

// WithLength sets the Pareto distribution of answer lengths: the minimum length
// in tokens and the tail exponent. The defaults are 40 and 1.5, which give a
// median of 64 and a mean of 120.
func WithLength(minTokens, tailExponent float64) Option {
	return func(c *config) {
		c.minLength = minTokens
		c.tailExponent = tailExponent
	}
}

// WithCacheBlocks sets the capacity of the prefix cache, in blocks of 64 bytes of
// prompt. The default is 4096.
func WithCacheBlocks(blocks int) Option {
	return func(c *config) { c.cacheBlocks = blocks }
}

// WithOrderTimes sets how long staging a version takes in addition to its
// transfer, and how long a switch pauses the streams of its model. The defaults
// are 200 ms and 300 ms.
func WithOrderTimes(staging, switching time.Duration) Option {
	return func(c *config) {
		c.stageTime = staging
		c.switchTime = switching
	}
}

// WithMaxVersions sets how many versions of a model fit in memory, including the one
// in use. The default is 0, which means no limit.
func WithMaxVersions(versions int) Option {
	return func(c *config) { c.maxVersions = versions }
}

// WithLag sets the age of the load in the reported state, the delay of cache
// events, and the fraction of them that is lost. The defaults are 1 s, 2 s and
// 0.05.
func WithLag(loadAge, eventDelay time.Duration, lossRate float64) Option {
	return func(c *config) {
		c.loadLag = loadAge
		c.eventLag = eventDelay
		c.eventLoss = lossRate
	}
}

// WithWeights sets the base URL of the weight store that staging fetches from.
// The default is none; staging then transfers nothing.
func WithWeights(base string) Option {
	return func(c *config) { c.weightStore = base }
}

// WithHTTP sets the client for fetching weights. The default is
// http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *config) { c.http = h }
}

// WithoutFence makes the engine ignore fencing tokens. By default it rejects
// orders with a stale one.
func WithoutFence() Option {
	return func(c *config) { c.checksFence = false }
}

// WithoutVersions omits the weight version from events. By default each event
// carries it.
func WithoutVersions() Option {
	return func(c *config) { c.omitVersions = true }
}

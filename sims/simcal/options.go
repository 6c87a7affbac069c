package simcal

import (
	"net/http"
	"time"
)

func defaults(entries []string) config {
	return config{
		entries:     entries,
		http:        http.DefaultClient,
		model:       defaultModel,
		caller:      defaultCaller,
		concurrency: defaultConcurrency,
		duration:    defaultDuration,
		timeout:     defaultTimeout,
		maxTokens:   defaultMaxTokens,
		maxAttempts: defaultMaxAttempts,
	}
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *config) { c.http = h }
}

// WithModel sets the model of the requests. The default is "draft".
func WithModel(model string) Option {
	return func(c *config) { c.model = model }
}

// WithService sends bookings to a plain service instead of requests to a model.
// The fraction keyedShare of the bookings carries an idempotency key. The default
// is no service.
func WithService(service string, keyedShare float64) Option {
	return func(c *config) {
		c.service = service
		c.keyedShare = keyedShare
	}
}

// WithStatusShare sets the fraction of requests to a plain service that get the status
// of a case instead of booking. The default is 0.
func WithStatusShare(share float64) Option {
	return func(c *config) { c.statusShare = share }
}

// WithDirect sends requests directly to an engine or a plain service, at the URLs
// given as entries, so that a run shows the overhead of the system. All answers
// of an engine are streams. The default is to send them to entries.
func WithDirect() Option {
	return func(c *config) { c.direct = true }
}

// WithCaller sets the caller's name, which is part of families and prompts, so
// that concurrent loads don't collide. The default is "caller".
func WithCaller(caller string) Option {
	return func(c *config) { c.caller = caller }
}

// WithRate sets the arrival rate in requests per second and the number of
// concurrent callers. With a rate of 0, each caller sends its next request as soon
// as the last one ends (closed loop). The defaults are 0 and 4.
func WithRate(rate float64, concurrency int) Option {
	return func(c *config) {
		c.rate = rate
		c.concurrency = concurrency
	}
}

// WithDuration sets how long requests are sent. The default is 10 s.
func WithDuration(d time.Duration) Option {
	return func(c *config) { c.duration = d }
}

// WithRequest sets the timeout and priority of each request and the maximum answer
// length in tokens. The defaults are 5 s, 0 and 64.
func WithRequest(timeout time.Duration, priority int32, maxTokens int64) Option {
	return func(c *config) {
		c.timeout = timeout
		c.priority = priority
		c.maxTokens = maxTokens
	}
}

// WithPrefix sets the common prefix of all prompts. The default is none.
func WithPrefix(text string) Option {
	return func(c *config) { c.prefix = text }
}

// WithStreamingShare sets the fraction of requests that are streamed. The default is 0.
func WithStreamingShare(share float64) Option {
	return func(c *config) { c.streamingShare = share }
}

// WithMaxAttempts sets the maximum number of attempts of a request. It is retried
// after "not run" and, with an idempotency key, also after "outcome unknown". The
// default is 1.
func WithMaxAttempts(n int) Option {
	return func(c *config) { c.maxAttempts = n }
}

// WithSeed sets the random seed. The default is 0.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

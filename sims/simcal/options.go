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
		attempts:    defaultAttempts,
	}
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *config) { c.http = h }
}

// WithModel sets the model that is asked. The default is "draft".
func WithModel(model string) Option {
	return func(c *config) { c.model = model }
}

// WithService makes the load book slots of a plain service instead of asking a
// model. A share of the bookings carries an idempotency key. The default is no
// service.
func WithService(service string, keyed float64) Option {
	return func(c *config) {
		c.service = service
		c.keyed = keyed
	}
}

// WithStatus makes a share of the requests to a plain service ask for the status
// of a case instead of booking. The default is 0.
func WithStatus(share float64) Option {
	return func(c *config) { c.status = share }
}

// WithDirect makes the load ask an engine or a plain service itself, at the URLs
// that are given as entries, so that a run shows what the way through the system
// adds. All answers of an engine are streams. The default is to ask entries.
func WithDirect() Option {
	return func(c *config) { c.direct = true }
}

// WithCaller sets the caller's name, which families and prompts carry too, so
// that two loads at the same time stay apart. The default is "caller".
func WithCaller(caller string) Option {
	return func(c *config) { c.caller = caller }
}

// WithRate sets how many requests a second are due and how many callers there
// are. A rate of 0 asks whenever a caller is free. The default is 0 and 4.
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

// WithRequest sets the timeout and priority of each request and the greatest
// length of an answer in tokens. The default is 5 s, 0 and 64.
func WithRequest(timeout time.Duration, priority int32, maxTokens int64) Option {
	return func(c *config) {
		c.timeout = timeout
		c.priority = priority
		c.maxTokens = maxTokens
	}
}

// WithPrefix sets the text that all prompts begin with. The default is none.
func WithPrefix(text string) Option {
	return func(c *config) { c.prefix = text }
}

// WithStreaming sets the share of requests that are streamed. The default is 0.
func WithStreaming(share float64) Option {
	return func(c *config) { c.streaming = share }
}

// WithAttempts sets how often a request is sent at most: again after "not run",
// and with an idempotency key also after "outcome unknown". The default is 1.
func WithAttempts(n int) Option {
	return func(c *config) { c.attempts = n }
}

// WithSeed sets what the load draws from. The default is 0.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

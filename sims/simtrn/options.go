package simtrn

import (
	"net/http"
	"time"
)

func defaults(name string, entries []string) config {
	return config{
		name:      name,
		entries:   entries,
		http:      http.DefaultClient,
		model:     defaultModel,
		steps:     defaultSteps,
		groups:    defaultGroups,
		size:      defaultSize,
		maxTokens: defaultMaxTokens,
		bound:     defaultBound,
		version:   defaultVersion,
		bytes:     defaultBytes,
		prompt:    defaultPromptSize,
		train:     defaultTrainTime,
		pullWait:  defaultPullWait,
		pullSize:  defaultPullSize,
	}
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *config) { c.http = h }
}

// WithStore sets the weight store that versions of a model are put in, and how
// many bytes each is. The default is no store, the model "draft" and 1e8 bytes.
func WithStore(base string, bytes int64) Option {
	return func(c *config) {
		c.store = base
		c.bytes = bytes
	}
}

// WithModel sets the model. The default is "draft".
func WithModel(model string) Option {
	return func(c *config) { c.model = model }
}

// WithSteps sets how many steps the trainer trains. The default is 3.
func WithSteps(n int) Option {
	return func(c *config) { c.steps = n }
}

// WithAhead sets how many steps beyond the present one are submitted. The
// default is none.
func WithAhead(n int) Option {
	return func(c *config) { c.ahead = n }
}

// WithGroups sets how many groups a step has, and how many samples a group. The
// default is 8 and 8.
func WithGroups(groups, size int) Option {
	return func(c *config) {
		c.groups = groups
		c.size = size
	}
}

// WithLengths sets the greatest length of a sample in tokens and the length of
// prompts in bytes. The default is 512 and 200.
func WithLengths(maxTokens int64, prompt int) Option {
	return func(c *config) {
		c.maxTokens = maxTokens
		c.prompt = prompt
	}
}

// WithBound sets the staleness bound, in versions. The default is 2.
func WithBound(versions int64) Option {
	return func(c *config) { c.bound = versions }
}

// WithFirstVersion sets the version that is published first; each step
// publishes the next. The default is 1.
func WithFirstVersion(v int64) Option {
	return func(c *config) { c.version = v }
}

// WithTrainTime sets how long a step takes once its samples are there. The
// default is 1 s.
func WithTrainTime(d time.Duration) Option {
	return func(c *config) { c.train = d }
}

// WithPulls sets how long a pull waits and how many samples it takes at most.
// The default is 10 s and 256.
func WithPulls(wait time.Duration, size int) Option {
	return func(c *config) {
		c.pullWait = wait
		c.pullSize = size
	}
}

// WithRun sets what the ids of groups begin with, so that several runs for one
// subscription differ. The default is empty.
func WithRun(prefix string) Option {
	return func(c *config) { c.run = prefix }
}

// WithSeed sets what the trainer draws from. The default is 0.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

// WithLoss makes the trainer throw away a share of the answers to its pulls and
// pull again with the same cursor, as after a connection that broke. The
// default is 0.
func WithLoss(share float64) Option {
	return func(c *config) { c.loss = share }
}

// WithScores sets how a sample's score follows from its prompt and text. The
// default is that scores are not checked.
func WithScores(score func(prompt, text string) float64) Option {
	return func(c *config) { c.score = score }
}

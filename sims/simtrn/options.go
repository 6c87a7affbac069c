package simtrn

import (
	"net/http"
	"time"
)

func defaults(name string, entries []string) config {
	return config{
		name:         name,
		entries:      entries,
		http:         http.DefaultClient,
		model:        defaultModel,
		steps:        defaultSteps,
		groups:       defaultGroups,
		groupSize:    defaultGroupSize,
		maxTokens:    defaultMaxTokens,
		maxStaleness: defaultMaxStaleness,
		firstVersion: defaultFirstVersion,
		versionBytes: defaultVersionBytes,
		prompt:       defaultPromptBytes,
		trainTime:    defaultTrainTime,
		pullWait:     defaultPullWait,
		pullSize:     defaultPullSize,
	}
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *config) { c.http = h }
}

// WithWeightStore sets the base URL of the weight store that versions of the model are
// put in, and the size of each in bytes. The default is no store, the model "draft"
// and 1e8 bytes.
func WithWeightStore(base string, versionBytes int64) Option {
	return func(c *config) {
		c.weightStore = base
		c.versionBytes = versionBytes
	}
}

// WithModel sets the model. The default is "draft".
func WithModel(model string) Option {
	return func(c *config) { c.model = model }
}

// WithSteps sets the number of training steps. The default is 3.
func WithSteps(n int) Option {
	return func(c *config) { c.steps = n }
}

// WithStepsAhead sets how many steps beyond the current one are submitted. The default
// is 0.
func WithStepsAhead(n int) Option {
	return func(c *config) { c.stepsAhead = n }
}

// WithGroups sets the number of groups per step and of samples per group. The
// defaults are 8 and 8.
func WithGroups(groups, groupSize int) Option {
	return func(c *config) {
		c.groups = groups
		c.groupSize = groupSize
	}
}

// WithLengths sets the maximum length of a sample in tokens and the length of
// prompts in bytes. The defaults are 512 and 200.
func WithLengths(maxTokens int64, prompt int) Option {
	return func(c *config) {
		c.maxTokens = maxTokens
		c.prompt = prompt
	}
}

// WithMaxStaleness sets the staleness bound, in versions. The default is 2.
func WithMaxStaleness(versions int64) Option {
	return func(c *config) { c.maxStaleness = versions }
}

// WithFirstVersion sets the first published version; each step publishes the next
// one. The default is 1.
func WithFirstVersion(v int64) Option {
	return func(c *config) { c.firstVersion = v }
}

// WithTrainTime sets the training time of a step after its last sample has arrived.
// The default is 1 s.
func WithTrainTime(d time.Duration) Option {
	return func(c *config) { c.trainTime = d }
}

// WithPulls sets how long a pull waits and its maximum number of samples. The
// defaults are 10 s and 256.
func WithPulls(wait time.Duration, size int) Option {
	return func(c *config) {
		c.pullWait = wait
		c.pullSize = size
	}
}

// WithGroupIDPrefix sets a prefix of group IDs, so that IDs differ between runs of one
// subscription. The default is empty.
func WithGroupIDPrefix(prefix string) Option {
	return func(c *config) { c.groupIDPrefix = prefix }
}

// WithSeed sets the random seed. The default is 0.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

// WithResponseLoss sets the fraction of pull responses that the trainer drops. It then pulls
// again with the same cursor, as after a lost connection. The default is 0.
func WithResponseLoss(share float64) Option {
	return func(c *config) { c.responseLoss = share }
}

// WithScores sets the function that computes the expected score of a prompt and a
// text. By default scores are not checked.
func WithScores(score func(prompt, text string) float64) Option {
	return func(c *config) { c.score = score }
}

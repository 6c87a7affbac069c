package simeng

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lavendermux/lavendermux/genev"
	"github.com/lavendermux/lavendermux/genreq"
	"github.com/lavendermux/lavendermux/sims/simtxt"
)

const (
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

var lengthPattern = regexp.MustCompile(`\blen=([0-9]+)\b`)

type (
	// stream is one waiting or running request. Server.mu guards it.
	stream struct {
		req  genreq.Request
		text simtxt.Text
		// granted is closed when the stream gets a slot.
		granted chan struct{}
		// cancelled is closed by a cancel request.
		cancelled chan struct{}
		// generated counts tokens including prior ones; the stream ends at length.
		generated int64
		length    int64
		finish    string
		// credit is the generated fraction of the next token. It is negative during
		// prefill.
		credit float64
		// counted is set once the stream is in the counters.
		counted bool
		// promptTokens is the prompt length in tokens, cachedTokens its prefix
		// cache hits.
		promptTokens, cachedTokens int64
		// prefilled is set once the prompt is in the prefix cache.
		prefilled bool
		// generatedUntil is the time up to which tokens have been generated.
		generatedUntil time.Time
	}
)

func newStream(c *config, req genreq.Request) *stream {
	st := &stream{
		req:       req,
		text:      simtxt.Text{Model: req.Model, Prompt: req.Prompt},
		cancelled: make(chan struct{}),
		generated: req.PriorTokens,
		finish:    finishStop,
	}
	st.length = length(c, req)
	if st.length > req.MaxTokens {
		st.length = req.MaxTokens
		st.finish = finishLength
	}
	st.length = max(st.length, st.generated)
	return st
}

// length draws the answer length in tokens; "len=N" in the prompt fixes it. A
// resumed request draws from the distribution conditioned on its prior tokens, so
// that resuming doesn't change the distribution of total lengths.
func length(c *config, req genreq.Request) int64 {
	if m := lengthPattern.FindStringSubmatch(req.Prompt); m != nil {
		n, err := strconv.ParseInt(m[1], 10, 64)
		if err == nil {
			return n
		}
	}
	rng := rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(req.ID+"\x00"+req.Prompt)))
	minTokens := max(c.minLength, float64(req.PriorTokens))
	drawn := minTokens * math.Pow(1-rng.Float64(), -1/c.tailExponent)
	return int64(math.Min(drawn, math.MaxInt32))
}

// advance generates the tokens that are due by now. It generates none during
// prefill and while the stream is paused.
func (p *process) advance(st *stream, now time.Time, f faults) genev.Event {
	elapsed := now.Sub(st.generatedUntil).Seconds()
	st.generatedUntil = now
	m := p.models[st.req.Model]
	if m.switching || f.Hang {
		return genev.Event{}
	}
	rate := p.rate(f.Slowdown)
	if !st.prefilled {
		st.prefilled = true
		st.credit = -rate * p.prefill(st, m.version, now)
	}
	st.credit += rate * elapsed
	n := min(int64(math.Floor(max(0, st.credit))), st.length-st.generated)
	st.credit -= float64(n)
	return p.make(st, m.version, n, f.OmitVersions)
}

func (p *process) make(st *stream, version string, n int64, omitVersions bool) genev.Event {
	var b strings.Builder
	for range n {
		b.WriteString(st.text.Word(version, st.generated))
		st.generated++
	}
	t := genev.Event{Text: b.String(), Tokens: n, Version: version}
	if omitVersions || p.config.omitVersions {
		t.Version = ""
	}
	return t
}

// prefill returns the prefill time of the prompt in seconds. Cached blocks take no
// time.
func (p *process) prefill(st *stream, version string, now time.Time) float64 {
	text := st.req.Prompt + st.req.Prior
	hits := p.cache.lookupAndStore(prefixHashes(st.req.Model, version, text), now)
	st.promptTokens = int64(len(text) / tokenBytes)
	st.cachedTokens = int64(hits * blockBytes / tokenBytes)
	return float64(len(text)-hits*blockBytes) / tokenBytes / p.config.prefillRate
}

func writeEvent(w http.ResponseWriter, t genev.Event) error {
	raw, err := json.Marshal(t)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

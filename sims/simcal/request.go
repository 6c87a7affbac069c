package simcal

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/genreq"
	"github.com/lavendermux/lavendermux/sims/simsrv"
	"github.com/lavendermux/lavendermux/sims/simtxt"
)

const (
	callerHeader  = "Lavendermux-Caller"
	requestHeader = "Lavendermux-Request"
	timeoutHeader = "Lavendermux-Timeout"
	keyHeader     = "Idempotency-Key"
	// attemptHeader counts the copies of a keyed request; the first is 1.
	attemptHeader = "Lavendermux-Attempt"
	kindNotRun    = "notRun"
	kindUnknown   = "outcomeUnknown"
	maxAnswer     = 8 << 20
)

var eventPrefix = []byte("data:")

type (
	generateRequest struct {
		Prompt    string `json:"prompt"`
		MaxTokens int64  `json:"maxTokens"`
		Stream    bool   `json:"stream"`
		Priority  int32  `json:"priority"`
		Timeout   string `json:"timeout"`
	}

	generateResponse struct {
		RequestID string           `json:"requestId"`
		Text      string           `json:"text"`
		Tokens    int64            `json:"tokens"`
		Finish    string           `json:"finish"`
		Segments  []segmentMessage `json:"segments"`
	}

	segmentMessage struct {
		Version string `json:"version"`
		Tokens  int64  `json:"tokens"`
	}

	eventMessage struct {
		Text    string           `json:"text"`
		Version string           `json:"version"`
		Done    bool             `json:"done"`
		Tokens  int64            `json:"tokens"`
		Total   int64            `json:"total"`
		Error   *refusalResponse `json:"error"`
	}

	bookingMessage struct {
		Slot   string `json:"slot"`
		Family string `json:"family"`
	}

	statusMessage struct {
		ID string `json:"id"`
	}

	errorResponse struct {
		Error refusalResponse `json:"error"`
	}

	refusalResponse struct {
		Kind         string `json:"kind"`
		Cause        string `json:"cause"`
		Reason       string `json:"reason"`
		RetryAfterMs int64  `json:"retryAfterMs"`
	}

	// result is what came of one attempt.
	result struct {
		outcome string
		after   time.Duration
		problem string
		tokens  int64
	}
)

// request sends one request until an attempt settles it.
func (l *Load) request(ctx context.Context, a arrival) {
	send := l.generate
	key := ""
	if l.config.service != "" {
		send = l.book
		if l.draw(l.config.status) {
			send = l.askStatus
		}
		if l.draw(l.config.keyed) {
			key = l.requestID(a)
		}
	}
	var res result
	for attempt := 1; ; attempt++ {
		a.attempt = attempt
		res = l.bounded(ctx, a, key, send)
		// A caller is not willing to wait longer for leave to ask again than for
		// the answer itself; the refusal then stands as the outcome.
		if attempt >= l.config.attempts || !repeatable(res.outcome, key) || res.after > l.config.timeout {
			break
		}
		simsrv.Pause(ctx, res.after)
		if ctx.Err() != nil {
			break
		}
		l.mu.Lock()
		l.retries++
		l.mu.Unlock()
	}
	l.settle(a, res)
}

// repeatable tells whether asking again cannot make the request run twice.
func repeatable(outcome, key string) bool {
	return outcome == kindNotRun || key != "" && (outcome == kindUnknown || outcome == outcomeNoAnswer)
}

func (l *Load) bounded(
	ctx context.Context, a arrival, key string, send func(context.Context, arrival, string) result,
) result {
	ctx, cancel := context.WithTimeout(ctx, l.config.timeout+slack)
	defer cancel()
	return send(ctx, a, key)
}

func (l *Load) settle(a arrival, res result) {
	l.count(res.outcome)
	if res.problem != "" {
		l.note(a, res.outcome+": "+res.problem)
	}
	if res.outcome != outcomeOK {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens += res.tokens
	l.latency.Add(milliseconds(time.Since(a.at)))
}

// book asks a plain service for a slot that nobody else asks for.
func (l *Load) book(ctx context.Context, a arrival, key string) result {
	in := bookingMessage{
		Slot:   fmt.Sprintf("slot-%d", a.number),
		Family: fmt.Sprintf("%s-%d", l.config.caller, l.config.seed),
	}
	raw, res := l.plain(ctx, http.MethodPost, "/bookings", a, key, in)
	if res.outcome != outcomeOK {
		return res
	}
	var out bookingMessage
	if json.Unmarshal(raw, &out) != nil || out != in {
		return result{outcome: outcomeWrong, problem: "asked for " + in.Slot + ", was answered " + string(raw)}
	}
	return res
}

// askStatus asks a plain service for the status of a case.
func (l *Load) askStatus(ctx context.Context, a arrival, key string) result {
	want := statusMessage{ID: l.requestID(a)}
	raw, res := l.plain(ctx, http.MethodGet, "/status/"+want.ID, a, key, nil)
	if res.outcome != outcomeOK {
		return res
	}
	var out statusMessage
	if json.Unmarshal(raw, &out) != nil || out != want {
		return result{outcome: outcomeWrong, problem: "asked about " + want.ID + ", was answered " + string(raw)}
	}
	return res
}

// plain sends one request to the plain service and reads its answer whole.
func (l *Load) plain(ctx context.Context, method, path string, a arrival, key string, in any) ([]byte, result) {
	if !l.config.direct {
		path = "/v1/services/" + url.PathEscape(l.config.service) + path
	}
	resp, err := l.send(ctx, method, path, a, key, in)
	if err != nil {
		return nil, result{outcome: outcomeNoAnswer, problem: err.Error()}
	}
	defer resp.Body.Close()
	if res, mixed := l.mixedUp(a, resp); mixed {
		return nil, res
	}
	return read(resp)
}

func (l *Load) generate(ctx context.Context, a arrival, _ string) result {
	in := generateRequest{
		Prompt:    fmt.Sprintf("%s%s %d request %d", l.config.prefix, l.config.caller, l.config.seed, a.number),
		MaxTokens: l.config.maxTokens,
		Stream:    l.draw(l.config.streaming),
		Priority:  l.config.priority,
		Timeout:   l.config.timeout.String(),
	}
	resp, err := l.ask(ctx, a, in)
	if err != nil {
		return result{outcome: outcomeNoAnswer, problem: err.Error()}
	}
	defer resp.Body.Close()
	if res, mixed := l.mixedUp(a, resp); mixed {
		return res
	}
	if (in.Stream || l.config.direct) && resp.StatusCode == http.StatusOK {
		return l.stream(a, in, resp.Body)
	}
	raw, res := read(resp)
	if res.outcome != outcomeOK {
		return res
	}
	var out generateResponse
	if err := json.Unmarshal(raw, &out); err != nil {
		return result{outcome: outcomeWrong, problem: err.Error()}
	}
	var named []string
	for _, seg := range out.Segments {
		for range min(seg.Tokens, in.MaxTokens) {
			named = append(named, seg.Version)
		}
	}
	return l.whole(in, out.Text, out.Tokens, named)
}

// ask sends a request for a generation to an entry, or to the engine itself.
func (l *Load) ask(ctx context.Context, a arrival, in generateRequest) (*http.Response, error) {
	if !l.config.direct {
		path := "/v1/models/" + url.PathEscape(l.config.model) + "/generate"
		return l.send(ctx, http.MethodPost, path, a, "", in)
	}
	return l.send(ctx, http.MethodPost, "/v1/generate", a, "", genreq.Request{
		ID:        l.requestID(a),
		Model:     l.config.model,
		Prompt:    in.Prompt,
		MaxTokens: in.MaxTokens,
		Priority:  in.Priority,
	})
}

// stream reads events to the end that the service itself puts.
func (l *Load) stream(a arrival, in generateRequest, body io.Reader) result {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxAnswer)
	var text string
	var named []string
	for sc.Scan() {
		data, found := bytes.CutPrefix(sc.Bytes(), eventPrefix)
		if !found {
			continue
		}
		var e eventMessage
		if err := json.Unmarshal(data, &e); err != nil {
			return result{outcome: outcomeWrong, problem: err.Error()}
		}
		switch {
		case e.Error != nil:
			return refused(*e.Error)
		case e.Done:
			// An engine's end has the length as its total.
			return l.whole(in, text, max(e.Tokens, e.Total), named)
		case text == "" && e.Text != "":
			l.mu.Lock()
			l.first.Add(milliseconds(time.Since(a.at)))
			l.mu.Unlock()
		}
		text += e.Text
		for range bytes.Fields([]byte(e.Text)) {
			named = append(named, e.Version)
		}
	}
	return result{outcome: outcomeCutOff}
}

// whole checks that an answer is the request's own, complete, and of the
// versions that it names.
func (l *Load) whole(in generateRequest, text string, tokens int64, named []string) result {
	made, err := simtxt.Text{Model: l.config.model, Prompt: in.Prompt}.Versions(text)
	if err != nil {
		return result{outcome: outcomeWrong, problem: err.Error()}
	}
	if int64(len(made)) != tokens || len(named) != len(made) {
		problem := fmt.Sprintf("%d words, named are %d tokens, %d of them with a version", len(made), tokens, len(named))
		return result{outcome: outcomeWrong, problem: problem}
	}
	for i, v := range made {
		// An answer to a caller may name no version; one that it names is true.
		if named[i] != "" && named[i] != v {
			problem := fmt.Sprintf("token %d is of version %q, named is %q", i, v, named[i])
			return result{outcome: outcomeWrong, problem: problem}
		}
	}
	return result{outcome: outcomeOK, tokens: tokens}
}

func (l *Load) send(
	ctx context.Context, method, path string, a arrival, key string, in any,
) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		// The body's kind is hidden, or the transport might send it twice by itself.
		body = io.MultiReader(bytes.NewReader(raw))
	}
	req, err := http.NewRequestWithContext(ctx, method, l.entry()+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(callerHeader, l.config.caller)
	req.Header.Set(requestHeader, l.requestID(a))
	req.Header.Set(timeoutHeader, l.config.timeout.String())
	if key != "" {
		req.Header.Set(keyHeader, key)
		req.Header.Set(attemptHeader, strconv.Itoa(a.attempt))
	}
	return l.config.http.Do(req)
}

func (l *Load) requestID(a arrival) string {
	return fmt.Sprintf("%s-%d-%d", l.config.caller, l.config.seed, a.number)
}

// mixedUp tells whether an answer names another request than its own. The
// service returns the id that a request came with, and adds to it after a dot.
// An answer without an id is told by its content alone.
func (l *Load) mixedUp(a arrival, resp *http.Response) (result, bool) {
	got := resp.Header.Get(requestHeader)
	own := l.requestID(a)
	if got == "" || got == own || strings.HasPrefix(got, own+".") {
		return result{}, false
	}
	return result{outcome: outcomeWrong, problem: "asked as " + own + ", was answered as " + got}, true
}

// read reads an answer to its end and tells what it means.
func read(resp *http.Response) ([]byte, result) {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, result{outcome: outcomeCutOff, problem: err.Error()}
	}
	if resp.StatusCode/100 == 2 {
		return raw, result{outcome: outcomeOK}
	}
	var e errorResponse
	if json.Unmarshal(raw, &e) == nil && e.Error.Kind != "" {
		return raw, refused(e.Error)
	}
	return raw, result{outcome: fmt.Sprintf("status%d", resp.StatusCode), problem: string(raw)}
}

func refused(r refusalResponse) result {
	return result{
		outcome: r.Kind,
		after:   time.Duration(r.RetryAfterMs) * time.Millisecond,
		problem: r.Cause + ": " + r.Reason,
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

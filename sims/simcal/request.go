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
	// attemptHeader carries the attempt number of a keyed request, from 1.
	attemptHeader      = "Lavendermux-Attempt"
	kindNotRun         = "notRun"
	kindOutcomeUnknown = "outcomeUnknown"
	maxAnswerBytes     = 8 << 20
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

	// result is the result of one attempt.
	result struct {
		outcome    string
		retryAfter time.Duration
		problem    string
		tokens     int64
	}
)

// sendRequest sends one request with retries and records its outcome.
func (l *Generator) sendRequest(ctx context.Context, a arrival) {
	send := l.generate
	key := ""
	if l.config.service != "" {
		send = l.book
		if l.chance(l.config.statusShare) {
			send = l.getStatus
		}
		if l.chance(l.config.keyedShare) {
			key = l.requestID(a)
		}
	}
	var res result
	for attempt := 1; ; attempt++ {
		a.attempt = attempt
		res = l.sendWithTimeout(ctx, a, key, send)
		// A caller doesn't wait longer to retry than for the answer itself; the
		// error response is then the outcome.
		if attempt >= l.config.maxAttempts || !safeToRetry(res.outcome, key) || res.retryAfter > l.config.timeout {
			break
		}
		simsrv.Sleep(ctx, res.retryAfter)
		if ctx.Err() != nil {
			break
		}
		l.mu.Lock()
		l.retries++
		l.mu.Unlock()
	}
	l.recordOutcome(a, res)
}

// safeToRetry reports whether a retry can't make the request run twice.
func safeToRetry(outcome, key string) bool {
	return outcome == kindNotRun || key != "" && (outcome == kindOutcomeUnknown || outcome == outcomeNoAnswer)
}

func (l *Generator) sendWithTimeout(
	ctx context.Context, a arrival, key string, send func(context.Context, arrival, string) result,
) result {
	ctx, cancel := context.WithTimeout(ctx, l.config.timeout+timeoutSlack)
	defer cancel()
	return send(ctx, a, key)
}

func (l *Generator) recordOutcome(a arrival, res result) {
	l.count(res.outcome)
	if res.problem != "" {
		l.recordProblem(a, res.outcome+": "+res.problem)
	}
	if res.outcome != outcomeOK {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens += res.tokens
	l.latency.Add(milliseconds(time.Since(a.dueAt)))
}

// book books a slot of a plain service that is unique to the request.
func (l *Generator) book(ctx context.Context, a arrival, key string) result {
	in := bookingMessage{
		Slot:   fmt.Sprintf("slot-%d", a.number),
		Family: fmt.Sprintf("%s-%d", l.config.caller, l.config.seed),
	}
	raw, res := l.callService(ctx, http.MethodPost, "/bookings", a, key, in)
	if res.outcome != outcomeOK {
		return res
	}
	var out bookingMessage
	if json.Unmarshal(raw, &out) != nil || out != in {
		return result{outcome: outcomeWrong, problem: "booked " + in.Slot + ", the answer is " + string(raw)}
	}
	return res
}

// getStatus gets the status of a case from a plain service.
func (l *Generator) getStatus(ctx context.Context, a arrival, key string) result {
	want := statusMessage{ID: l.requestID(a)}
	raw, res := l.callService(ctx, http.MethodGet, "/status/"+want.ID, a, key, nil)
	if res.outcome != outcomeOK {
		return res
	}
	var out statusMessage
	if json.Unmarshal(raw, &out) != nil || out != want {
		return result{outcome: outcomeWrong, problem: "requested the status of " + want.ID + ", the answer is " + string(raw)}
	}
	return res
}

// callService sends one request to the plain service and reads the response.
func (l *Generator) callService(ctx context.Context, method, path string, a arrival, key string, in any) ([]byte, result) {
	if !l.config.direct {
		path = "/v1/services/" + url.PathEscape(l.config.service) + path
	}
	resp, err := l.send(ctx, method, path, a, key, in)
	if err != nil {
		return nil, result{outcome: outcomeNoAnswer, problem: err.Error()}
	}
	defer resp.Body.Close()
	if res, mismatch := l.checkRequestID(a, resp); mismatch {
		return nil, res
	}
	return readAnswer(resp)
}

func (l *Generator) generate(ctx context.Context, a arrival, _ string) result {
	in := generateRequest{
		Prompt:    fmt.Sprintf("%s%s %d request %d", l.config.prefix, l.config.caller, l.config.seed, a.number),
		MaxTokens: l.config.maxTokens,
		Stream:    l.chance(l.config.streamingShare),
		Priority:  l.config.priority,
		Timeout:   l.config.timeout.String(),
	}
	resp, err := l.sendGenerate(ctx, a, in)
	if err != nil {
		return result{outcome: outcomeNoAnswer, problem: err.Error()}
	}
	defer resp.Body.Close()
	if res, mismatch := l.checkRequestID(a, resp); mismatch {
		return res
	}
	if (in.Stream || l.config.direct) && resp.StatusCode == http.StatusOK {
		return l.stream(a, in, resp.Body)
	}
	raw, res := readAnswer(resp)
	if res.outcome != outcomeOK {
		return res
	}
	var out generateResponse
	if err := json.Unmarshal(raw, &out); err != nil {
		return result{outcome: outcomeWrong, problem: err.Error()}
	}
	var versions []string
	for _, seg := range out.Segments {
		for range min(seg.Tokens, in.MaxTokens) {
			versions = append(versions, seg.Version)
		}
	}
	return l.checkAnswer(in, out.Text, out.Tokens, versions)
}

// sendGenerate sends a generate request to an entry or, with WithDirect, to an engine.
func (l *Generator) sendGenerate(ctx context.Context, a arrival, in generateRequest) (*http.Response, error) {
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

// stream reads events up to the final one and checks the answer.
func (l *Generator) stream(a arrival, in generateRequest, body io.Reader) result {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxAnswerBytes)
	var text string
	var versions []string
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
			return refusalResult(*e.Error)
		case e.Done:
			// The final event of an engine has the length in total.
			return l.checkAnswer(in, text, max(e.Tokens, e.Total), versions)
		case text == "" && e.Text != "":
			l.mu.Lock()
			l.firstEvent.Add(milliseconds(time.Since(a.dueAt)))
			l.mu.Unlock()
		}
		text += e.Text
		for range bytes.Fields([]byte(e.Text)) {
			versions = append(versions, e.Version)
		}
	}
	return result{outcome: outcomeCutOff}
}

// checkAnswer checks that an answer belongs to the request, is complete, and comes
// from the versions that it is attributed to.
func (l *Generator) checkAnswer(in generateRequest, text string, tokens int64, versions []string) result {
	textVersions, err := simtxt.Text{Model: l.config.model, Prompt: in.Prompt}.Versions(text)
	if err != nil {
		return result{outcome: outcomeWrong, problem: err.Error()}
	}
	if int64(len(textVersions)) != tokens || len(versions) != len(textVersions) {
		problem := fmt.Sprintf("%d words, but %d reported tokens, %d of them attributed to a version", len(textVersions), tokens, len(versions))
		return result{outcome: outcomeWrong, problem: problem}
	}
	for i, v := range textVersions {
		// An answer may omit versions, but one that it carries must be correct.
		if versions[i] != "" && versions[i] != v {
			problem := fmt.Sprintf("token %d has version %q, but is attributed to %q", i, v, versions[i])
			return result{outcome: outcomeWrong, problem: problem}
		}
	}
	return result{outcome: outcomeOK, tokens: tokens}
}

func (l *Generator) send(
	ctx context.Context, method, path string, a arrival, key string, in any,
) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		// MultiReader hides the body's type, so that the transport can't replay the
		// body and send the request twice.
		body = io.MultiReader(bytes.NewReader(raw))
	}
	req, err := http.NewRequestWithContext(ctx, method, l.pickEntry()+path, body)
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

func (l *Generator) requestID(a arrival) string {
	return fmt.Sprintf("%s-%d-%d", l.config.caller, l.config.seed, a.number)
}

// checkRequestID reports whether a response carries the ID of another request. The
// service returns the request's ID, optionally with a suffix after a dot. A
// response without an ID passes; its content is checked separately.
func (l *Generator) checkRequestID(a arrival, resp *http.Response) (result, bool) {
	got := resp.Header.Get(requestHeader)
	want := l.requestID(a)
	if got == "" || got == want || strings.HasPrefix(got, want+".") {
		return result{}, false
	}
	return result{outcome: outcomeWrong, problem: "request " + want + " got a response to " + got}, true
}

// readAnswer reads a response and classifies its outcome.
func readAnswer(resp *http.Response) ([]byte, result) {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, result{outcome: outcomeCutOff, problem: err.Error()}
	}
	if resp.StatusCode/100 == 2 {
		return raw, result{outcome: outcomeOK}
	}
	var e errorResponse
	if json.Unmarshal(raw, &e) == nil && e.Error.Kind != "" {
		return raw, refusalResult(e.Error)
	}
	return raw, result{outcome: fmt.Sprintf("status%d", resp.StatusCode), problem: string(raw)}
}

func refusalResult(r refusalResponse) result {
	return result{
		outcome:    r.Kind,
		retryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		problem:    r.Cause + ": " + r.Reason,
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

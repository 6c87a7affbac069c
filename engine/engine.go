// Package engine is the client of a model engine, and the only package that
// knows the engine's protocol. Only the sidecar of the engine uses it: all work
// and all orders for an engine pass through the sidecar.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/engst"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/genev"
	"github.com/lavendermux/lavendermux/genreq"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/rest"
)

const (
	peerName = "model engine"
	// maxEventBytes bounds one event of a stream, and the lines between two events, which are ignored.
	maxEventBytes = 128 << 10
	// maxStateBytes bounds other responses but caches.
	maxStateBytes = 4 << 20
	// maxCacheBytes bounds one exported KV cache.
	maxCacheBytes = 64 << 20
)

var eventPrefix = []byte("data:")

type (
	// Client is the client of one engine. See New.
	Client struct {
		rest *rest.Client
		http *http.Client
	}

	// Option configures a Client in New.
	Option func(*Client)

	// RejectedError reports that the engine rejected a request without running any
	// part of it.
	RejectedError struct {
		// Reason is the response body of the engine.
		Reason string
	}

	// InvalidEventError reports an event of a stream that isn't valid.
	InvalidEventError struct {
		Problem string
	}

	fenceResponse struct {
		Fence int64 `json:"fence"`
	}

	cacheMessage struct {
		Cache []byte `json:"cache"`
	}
)

// New returns a client of the engine at base, such as "http://127.0.0.1:7100".
//
//	c := engine.New(base)
//	err := c.Generate(ctx, req, func(t genev.Event) error { ... })
func New(base string, opts ...Option) *Client {
	c := &Client{http: http.DefaultClient}
	for _, opt := range opts {
		opt(c)
	}
	c.rest = rest.New(peerName, base, rest.WithHTTP(c.http), rest.WithMaxResponse(maxStateBytes))
	return c
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// Error implements error.
func (e *RejectedError) Error() string {
	return "engine rejected the request: " + e.Reason
}

// Error implements error.
func (e *InvalidEventError) Error() string { return "invalid event: " + e.Problem }

// Generate runs req and passes the tokens to onToken in order. It returns nil only
// after the engine's end event, which is the last token passed to onToken. An
// event that isn't valid ends the stream, as its text may belong to no request. A
// stream that ends early results in a *fault.UnavailableError, a request that the
// engine has not started in a *RejectedError. An error of onToken ends the stream
// and is returned.
func (c *Client) Generate(ctx context.Context, req genreq.Request, onToken func(genev.Event) error) error {
	resp, err := c.rest.Open(ctx, http.MethodPost, "/v1/generate", req)
	if err != nil {
		return classifyOpenError(err)
	}
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(nil, maxEventBytes)
	for ignored := 0; sc.Scan(); {
		data, found := bytes.CutPrefix(sc.Bytes(), eventPrefix)
		if !found {
			if ignored += len(sc.Bytes()) + 1; ignored > maxEventBytes {
				return &fault.UnavailableError{Peer: peerName, Cause: errors.New("the stream has too many bytes without an event")}
			}
			continue
		}
		ignored = 0
		t, err := decodeEvent(data)
		if err != nil {
			return &fault.UnavailableError{Peer: peerName, Cause: errors.Wrap(err, "reading a token")}
		}
		if err := onToken(t); err != nil {
			return err
		}
		if t.Done {
			return nil
		}
	}
	cause := sc.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return &fault.UnavailableError{Peer: peerName, Cause: cause}
}

// decodeEvent decodes an event and checks that its fields agree.
func decodeEvent(data []byte) (genev.Event, error) {
	var t genev.Event
	invalid := func(problem string) (genev.Event, error) {
		return genev.Event{}, &InvalidEventError{Problem: problem}
	}
	if !utf8.Valid(data) {
		return invalid("it is no UTF-8") // the decoder would replace the bytes
	}
	if err := json.Unmarshal(data, &t); err != nil {
		return invalid(err.Error())
	}
	switch name, err := doubledField(data); {
	case err != nil:
		return invalid(err.Error())
	case name != "":
		return invalid("field " + name + " stands twice")
	case t.Done && (t.Tokens != 0 || t.Text != ""):
		return invalid("the end event has tokens")
	case t.Done && t.TotalTokens < 0:
		return invalid("total is negative")
	case !t.Done && t.Tokens < 1:
		return invalid("tokens is missing or not positive")
	case !t.Done && (t.TotalTokens != 0 || t.Finish != ""):
		return invalid("it has fields of the end event")
	}
	return t, nil
}

// doubledField returns the name of a field of an object that stands twice, of which the decoder would
// take the last; "" if there is none.
func doubledField(object []byte) (string, error) {
	dec := json.NewDecoder(bytes.NewReader(object))
	if start, err := dec.Token(); err != nil || start != json.Delim('{') {
		return "", errors.New("it is no object")
	}
	seen := make(map[string]bool)
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return "", err
		}
		key := strings.ToLower(name.(string)) // the decoder ignores case
		if seen[key] {
			return key, nil
		}
		seen[key] = true
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return "", err
		}
	}
	return "", nil
}

// Cancel ends the request with the given ID. Cancelling a request that the engine
// does not know is not an error.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.rest.Do(ctx, http.MethodPost, "/v1/generate/"+url.PathEscape(id)+"/cancel", nil, nil)
}

// Order sends an order to the engine and returns the engine's state after it. An
// engine that checks fencing tokens rejects a stale one, which results in a
// *fault.FencedError. After a *fault.UnavailableError the outcome is unknown; a
// *rest.StatusError means that the engine reported a failure.
func (c *Client) Order(ctx context.Context, o order.Order) (engst.State, error) {
	var st engst.State
	err := c.rest.Do(ctx, http.MethodPost, "/v1/orders", o, &st)
	var status *rest.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		var body fenceResponse
		if json.Unmarshal(status.Body, &body) == nil {
			return st, &fault.FencedError{Fence: o.Fence, Current: body.Fence}
		}
	}
	return st, err
}

// State returns the state of the engine. Its load figures lag.
func (c *Client) State(ctx context.Context) (engst.State, error) {
	var st engst.State
	err := c.rest.Do(ctx, http.MethodGet, "/v1/state", nil, &st)
	return st, err
}

// ExportCache returns the engine's KV cache of the request with the given ID.
func (c *Client) ExportCache(ctx context.Context, id string) ([]byte, error) {
	resp, err := c.rest.Open(ctx, http.MethodGet, "/v1/kvcache/"+url.PathEscape(id), nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxCacheBytes+1))
	if err == nil && len(raw) > maxCacheBytes {
		return nil, errors.Newf("the KV cache of request %s is over %d bytes", id, maxCacheBytes)
	}
	return raw, errors.Wrap(err, "reading a KV cache")
}

// ImportCache sends a KV cache exported by another engine, so that its request
// continues here without a repeated prefill. An engine rejects a cache that was
// computed with other weights.
func (c *Client) ImportCache(ctx context.Context, id string, cache []byte) error {
	return c.rest.Do(ctx, http.MethodPut, "/v1/kvcache/"+url.PathEscape(id), cacheMessage{Cache: cache}, nil)
}

// CacheEvents returns the raw cache events after a sequence number. Events arrive
// late and some are missing.
func (c *Client) CacheEvents(ctx context.Context, after int64) (json.RawMessage, error) {
	var raw json.RawMessage
	err := c.rest.Do(ctx, http.MethodGet, "/v1/cacheEvents?after="+strconv.FormatInt(after, 10), nil, &raw)
	return raw, err
}

// classifyOpenError distinguishes a rejected request from one that the engine may
// have started: only the statuses below guarantee that it has not.
func classifyOpenError(err error) error {
	var status *rest.StatusError
	if !errors.As(err, &status) {
		return err
	}
	switch status.Status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &RejectedError{Reason: string(status.Body)}
	}
	return &fault.UnavailableError{Peer: peerName, Cause: status}
}

// Package opclnt is a client of the resource API that package opapi serves.
//
// A change whose response is lost is retried with the same operation ID, so that it
// is applied at most once. If the outcome is still unknown after the last attempt, the
// error is a *fault.UnknownOutcomeError, even if a later attempt was rejected: the
// rejection holds for that attempt alone.
package opclnt

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/apierr"
	"github.com/lavendermux/lavendermux/conns"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/opapi"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/status"
	"github.com/lavendermux/lavendermux/views"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	// maxResponseBytes bounds one response. An ordinary list of resources has some
	// kilobytes; only a list of resources of half a megabyte each comes near it.
	maxResponseBytes = 64 << 20
	// defaultAttempts is the number of attempts at a change. An entry itself retries
	// for up to ten seconds; the attempts here are for an entry that crashes meanwhile,
	// as the load balancer then sends the next one to another entry.
	defaultAttempts = 4
	defaultBackoff  = 300 * time.Millisecond
	decimalBase     = 10
)

type (
	// Client sends requests to one entry, or to any through the load balancer. See New.
	Client struct {
		base     string
		token    string
		http     *http.Client
		attempts int
		backoff  time.Duration
		onNotice func(text string)
	}

	// Option configures a Client. See New.
	Option func(*Client)

	request struct {
		method    string
		path      string
		operation string
		body      []byte
	}

	listResponse struct {
		Items []object.Object `json:"items"`
	}

	watchResponse struct {
		Revision int64           `json:"revision"`
		Complete bool            `json:"whole"`
		Items    []object.Object `json:"items"`
	}
)

// New returns a client of the entry at the base URL, such as "http://127.0.0.1:8080".
//
//	c := opclnt.New("http://127.0.0.1:8080")
//	o, err := c.Get(ctx, object.KindPool, "filing-lm")
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:     strings.TrimRight(base, "/"),
		http:     http.DefaultClient,
		attempts: defaultAttempts,
		backoff:  defaultBackoff,
		onNotice: func(string) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http = conns.WithoutRedirects(c.http)
	return c
}

// WithToken sets the operator's bearer token. The default is none.
func WithToken(token string) Option {
	return func(c *Client) { c.token = token }
}

// WithBackoff sets the backoff before the first retry of a change; it doubles with each
// further retry. The default is 300ms.
func WithBackoff(d time.Duration) Option {
	return func(c *Client) { c.backoff = d }
}

// WithOnNotice sets a function that is called when a response comes from the local
// configuration of an entry because the metadata store is unavailable. The default does
// nothing.
func WithOnNotice(f func(text string)) Option {
	return func(c *Client) { c.onNotice = f }
}

// Get returns a resource, or a *fault.NotFoundError.
func (c *Client) Get(ctx context.Context, kind, name string) (object.Object, error) {
	var o object.Object
	err := c.readWithNotice(ctx, resourcePath(kind, name), &o)
	return o, err
}

// List returns the resources of a kind, or all resources if kind is empty.
func (c *Client) List(ctx context.Context, kind string) ([]object.Object, error) {
	path := "/v1/resources"
	if kind != "" {
		path += "/" + url.PathEscape(kind)
	}
	var l listResponse
	err := c.readWithNotice(ctx, path, &l)
	return l.Items, err
}

// Status returns the status of a resource: its propagation and conditions.
func (c *Client) Status(ctx context.Context, kind, name string) (status.Status, error) {
	var s status.Status
	err := c.readWithNotice(ctx, resourcePath(kind, name)+"/status", &s)
	return s, err
}

// Watch waits up to wait for changes after a revision, and returns them and the revision
// to continue from. An empty kind or name matches all.
func (c *Client) Watch(ctx context.Context, kind, name string, after int64, wait time.Duration) ([]object.Object, int64, error) {
	q := url.Values{}
	q.Set("kind", kind)
	q.Set("name", name)
	q.Set("after", strconv.FormatInt(after, decimalBase))
	q.Set("wait", xtime.Duration(wait).String())
	var found watchResponse
	err := c.readJSON(ctx, "/v1/watch?"+q.Encode(), &found)
	return found.Items, found.Revision, err
}

// Read decodes the JSON of any other path of an entry, such as "/v1/burn", into out.
func (c *Client) Read(ctx context.Context, path string, out any) error {
	return c.readJSON(ctx, path, out)
}

// Quarantined returns the poison requests known to the process, in a view with its instance
// name.
func (c *Client) Quarantined(ctx context.Context) (views.View, error) {
	var v views.View
	err := c.readJSON(ctx, views.QuarantinePath, &v)
	return v, err
}

// Release ends the quarantine of a request and returns the number of strikes that
// counted against it. It is idempotent.
func (c *Client) Release(ctx context.Context, p reqfp.Fingerprint) (strikes int, err error) {
	var out struct {
		Strikes int `json:"strikes"`
	}
	err = c.do(ctx, request{method: http.MethodDelete, path: views.QuarantinePath + "/" + p.String()}, &out)
	return out.Strikes, err
}

// Put creates the resource if its revision is 0, and otherwise replaces it.
func (c *Client) Put(ctx context.Context, o object.Object) (object.Object, error) {
	o.Operation = ""
	body, err := json.Marshal(o)
	if err != nil {
		return object.Object{}, errors.Wrap(err, "encoding the resource")
	}
	return c.submitChange(ctx, request{method: http.MethodPut, path: resourcePath(o.Kind, o.Name), body: body})
}

// Delete deletes a resource at a revision.
func (c *Client) Delete(ctx context.Context, kind, name string, revision int64) (object.Object, error) {
	path := resourcePath(kind, name) + "?revision=" + strconv.FormatInt(revision, decimalBase)
	return c.submitChange(ctx, request{method: http.MethodDelete, path: path})
}

// submitChange sends a change and retries it until its outcome is known or the
// attempts are used up.
func (c *Client) submitChange(ctx context.Context, r request) (object.Object, error) {
	r.operation = rand.Text()
	var unresolved error
	for attempt := range c.attempts {
		if err := c.waitBackoff(ctx, attempt); err != nil {
			break
		}
		var o object.Object
		err := c.do(ctx, r, &o)
		if err == nil {
			return o, nil
		}
		var notRun *fault.NotRunError
		if unresolved != nil && errors.As(err, &notRun) {
			continue
		}
		if !isOutcomeUnknown(err) {
			return object.Object{}, err
		}
		unresolved = err
	}
	return object.Object{}, &fault.UnknownOutcomeError{
		Cause:  "noAnswer",
		Reason: "the change may have been applied; check with status or get: " + unresolved.Error(),
	}
}

func (c *Client) waitBackoff(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	timer := time.NewTimer(c.backoff << (attempt - 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (c *Client) readWithNotice(ctx context.Context, path string, out any) error {
	header, err := c.send(ctx, request{method: http.MethodGet, path: path}, out)
	if header.Get(opapi.HeaderSource) == opapi.SourceLocal {
		c.onNotice("the key-value service gives no answer; this is the entry's own configuration at revision " +
			header.Get(opapi.HeaderRevision))
	}
	return err
}

func (c *Client) readJSON(ctx context.Context, path string, out any) error {
	_, err := c.send(ctx, request{method: http.MethodGet, path: path}, out)
	return err
}

func (c *Client) do(ctx context.Context, r request, out any) error {
	_, err := c.send(ctx, r, out)
	return err
}

func (c *Client) send(ctx context.Context, r request, out any) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &fault.FieldError{Field: "entry", Problem: err.Error()}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if r.operation != "" {
		req.Header.Set(opapi.HeaderOperation, r.operation)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &fault.UnavailableError{Peer: "entry " + c.base, Cause: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resp.Header, &fault.UnavailableError{Peer: "entry " + c.base, Cause: err}
	}
	return resp.Header, c.decode(resp.StatusCode, raw, out)
}

func (c *Client) decode(code int, raw []byte, out any) error {
	if code/100 == 2 {
		if err := json.Unmarshal(raw, out); err != nil {
			return &fault.UnavailableError{Peer: "entry " + c.base, Cause: errors.Wrap(err, "decoding the response")}
		}
		return nil
	}
	if f, ok := apierr.Parse(raw); ok {
		return f.Err()
	}
	return &fault.UnavailableError{Peer: "entry " + c.base, Cause: errors.Newf("unexpected status %d", code)}
}

// isOutcomeUnknown reports whether the change may have been applied despite err.
func isOutcomeUnknown(err error) bool {
	var unavailable *fault.UnavailableError
	var unknown *fault.UnknownOutcomeError
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

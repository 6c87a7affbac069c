// Package scorer is the client of a service that scores samples and the only
// package that knows its protocol. Scoring has no side effects, so requests may be
// retried.
package scorer

import (
	"context"
	"net/http"

	"github.com/lavendermux/lavendermux/rest"
)

// maxResponseBytes bounds a response, which has an ID and a number.
const maxResponseBytes = 64 << 10

type (
	// Client is a client of one scoring service. See New.
	Client struct {
		rest *rest.Client
		http *http.Client
	}

	// Option configures a Client.
	Option func(*Client)

	scoreRequest struct {
		SampleID string `json:"sampleId"`
		Prompt   string `json:"prompt"`
		Text     string `json:"text"`
	}

	scoreResponse struct {
		SampleID string  `json:"sampleId"`
		Score    float64 `json:"score"`
	}
)

// New returns a client for the scoring service at base, such as "http://127.0.0.1:7200".
//
//	c := scorer.New(base)
//	score, err := c.Score(ctx, "step-3/7/2", prompt, text)
func New(base string, opts ...Option) *Client {
	c := &Client{http: http.DefaultClient}
	for _, opt := range opts {
		opt(c)
	}
	c.rest = rest.New("scorer", base, rest.WithHTTP(c.http), rest.WithMaxResponse(maxResponseBytes))
	return c
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// Score returns the score of one sample's text. A response for another sample is a
// *MismatchError.
func (c *Client) Score(ctx context.Context, id, prompt, text string) (float64, error) {
	var resp scoreResponse
	req := scoreRequest{SampleID: id, Prompt: prompt, Text: text}
	if err := c.rest.Do(ctx, http.MethodPost, "/v1/score", req, &resp); err != nil {
		return 0, err
	}
	if resp.SampleID != id {
		return 0, &MismatchError{Want: id, Got: resp.SampleID}
	}
	return resp.Score, nil
}

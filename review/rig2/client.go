//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type (
	// channel is a requester's channel to one front, which it keeps.
	channel struct {
		addr string
		http *http.Client
	}

	// result is what a requester saw of one request.
	result struct {
		id         string
		sent, over time.Time
		status     int
		seal       string
		body       string
		// err is set if the channel ended without a complete answer.
		err error
	}
)

func newChannel(n *node) *channel {
	return &channel{addr: n.ip + ":" + frontPort, http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

// send sends a request and reads its answer to the end.
func (c *channel) send(path, id string, t task, body []byte, budget time.Duration) (res result) {
	res = result{id: id, sent: time.Now()}
	defer func() { res.over = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		res.err = err
		return res
	}
	r.GetBody = nil // a request isn't sent again on another channel
	raw, _ := json.Marshal(t)
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Time-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	r.Header.Set(taskHeader, string(raw))
	resp, err := c.http.Do(r)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status, res.seal = resp.StatusCode, resp.Header.Get("Server-Seal")
	all, err := io.ReadAll(resp.Body)
	res.body, res.err = string(all), err
	return res
}

func (c *channel) close() { c.http.CloseIdleConnections() }

// events returns the number of whole events of a streamed answer.
func (r result) events() int { return strings.Count(r.body, "\n\n") }

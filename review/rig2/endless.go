//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	lotItems, lotGroup = 208, 8
	// lotDeadline is how long the trainer reads the results of a batch submission.
	lotDeadline  = 50 * time.Second
	lotReadPause = 500 * time.Millisecond
)

type (
	lotItem struct {
		ID         string            `json:"id"`
		Path       string            `json:"path"`
		Headers    map[string]string `json:"headers"`
		Body       string            `json:"body"`
		TokenCount int               `json:"tokenCount"`
		Group      string            `json:"group"`
	}

	lotResult struct {
		ID       string  `json:"id"`
		State    string  `json:"state"`
		Text     string  `json:"text"`
		Versions []int64 `json:"versions"`
	}

	lotPage struct {
		Total   int         `json:"total"`
		Next    int         `json:"next"`
		Results []lotResult `json:"results"`
	}
)

// playEndless has two workers of four answer one item each of a batch submission with bytes without an
// end: those of the one have no event IDs, and those of the other go on beyond the output that the item
// allows.
func playEndless(s *site, trouble bool) (bool, error) {
	done := make(chan struct{})
	peaks := make([]atomic.Int64, fronts)
	var watch sync.WaitGroup
	for i := range fronts {
		watch.Go(func() { s.limitMemory(s.nodes[i], &peaks[i], done) })
	}
	var wg sync.WaitGroup
	short := make([]result, 0, fronts*others)
	var mu sync.Mutex
	for i := range fronts * others {
		wg.Go(func() {
			c := newChannel(s.nodes[i%fronts])
			defer c.close()
			c.send(plainPrefix+"hello", fmt.Sprintf("hello-%d", i), task{}, nil, time.Second) // the channel is a kept one
			r := c.send(streamPrefix+"tell", fmt.Sprintf("short-%d", i), task{Events: 450, GapMs: 100}, nil, 55*time.Second)
			mu.Lock()
			defer mu.Unlock()
			short = append(short, r)
		})
	}
	time.Sleep(time.Second)
	if trouble {
		faulty := 0
		for _, w := range s.workers {
			if w.model != "" && faulty < 2 {
				w.setEndless(1, faulty == 1)
				faulty++
			}
		}
	}
	broken, err := s.runLot("lot-1")
	wg.Wait()
	close(done)
	watch.Wait()
	if err != nil {
		return false, err
	}
	for i := range fronts {
		s.rec.printf("%s: %d MB of memory at most, its limit is %d", s.nodes[i].name, peaks[i].Load()>>20, frontMemoryMb)
	}
	for _, w := range s.workers {
		if w.endlessID != "" {
			s.rec.printf("worker %s: sent %d bytes without an end in place of the answer to %s", w.id, w.endlessSent, w.endlessID)
		}
	}
	lost := 0
	for _, r := range short {
		run := s.run(r.id)
		if r.err != nil && run.runs > 0 {
			lost++
			s.rec.printf("%s: status %d, %d events, error %v, took %.2f s; worker runs %d; lost", r.id, r.status, r.events(), r.err, r.over.Sub(r.sent).Seconds(), run.runs)
		}
	}
	s.rec.printf("%d requests lost of %d, %d are allowed", lost, len(short), mostLost)
	return broken || lost > mostLost, nil
}

// runLot submits a batch submission and reads its results. It reports whether a completed one has a
// text that isn't the item's whole output.
func (s *site) runLot(id string) (broken bool, err error) {
	start, err := s.submitLot(id, lotItems)
	if err != nil {
		return false, err
	}
	var results []lotResult
	for n := 0; len(results) < lotItems && time.Since(start) < lotDeadline; n++ {
		time.Sleep(lotReadPause)
		status, body := s.call(n, http.MethodGet, fmt.Sprintf("/lavendermux/lots/%s?after=%d", id, len(results)), "read", nil)
		var p lotPage
		if status == http.StatusOK && json.Unmarshal(body, &p) == nil {
			results = append(results, p.Results...)
		}
	}
	s.rec.printf("%d of %d results after %.1f s", len(results), lotItems, time.Since(start).Seconds())
	for _, r := range results {
		if r.State == "completed" && r.Text == itemText(r.ID) {
			continue
		}
		s.rec.printf("item %s: %s with a text of %d bytes, its whole output has %d; it begins with %.60q", r.ID, r.State, len(r.Text), len(itemText(r.ID)), r.Text)
		broken = broken || r.State == "completed"
	}
	return broken, nil
}

// submitLot submits a batch submission of count items until it is accepted, and returns when it began.
func (s *site) submitLot(id string, count int) (start time.Time, err error) {
	var items []lotItem
	for n := range count {
		items = append(items, lotItem{ID: fmt.Sprintf("%s-%03d", id, n), Path: lotPrefix + "run", Headers: map[string]string{"Model": model, "Token-Count": "540,400"},
			Body: base64.StdEncoding.EncodeToString([]byte("prompt")), TokenCount: 940, Group: fmt.Sprint(n / lotGroup)})
	}
	raw, err := json.Marshal(map[string]any{"step": 0, "model": model, "minVersion": 1, "desiredCount": count / lotGroup, "items": items})
	if err != nil {
		return start, err
	}
	start = time.Now()
	status := 0
	for n := 0; status != http.StatusAccepted; n++ {
		if time.Since(start) > 5*time.Second {
			return start, errors.New("the batch submission isn't accepted")
		}
		status, _ = s.call(n, http.MethodPost, lotPrefix+"lot", id, raw)
		s.rec.printf("batch submission %s: status %d", id, status)
	}
	return start, nil
}

// call makes a call about a batch submission to a front on a new channel; status 0 is no answer.
func (s *site) call(n int, method, path, id string, body []byte) (status int, answer []byte) {
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+s.nodes[n%fronts].ip+":"+frontPort+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	if method == http.MethodPost {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

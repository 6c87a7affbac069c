package procs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// tokens is the length of a streamed answer: some seconds of work.
	tokens  = 400
	streams = 9
	booked  = 4
	// bookingTime is how long a booking takes, so that some are in flight when a
	// process is told to stop.
	bookingTime = 3 * time.Second
	// stopWithin is the default of the settings of the same name.
	stopWithin = 30 * time.Second
)

type (
	// inFlight are requests that a test has sent itself.
	inFlight struct {
		begun chan struct{}
		ended chan error
		n     int
	}
)

// An operator stops an entry, and then the process beside an engine and the one
// beside a booking service, as for a release, while callers wait for answers from
// each. Every one of them gets its whole answer, those who come meanwhile are
// served elsewhere, and the trainer sees nothing.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	const steps = 4
	f := newFleet(t)
	trainer := f.trainer(t, 1, steps)
	f.awaitMidStep(t, trainer)
	// A balancer would send new requests to the entries that stay.
	live := f.live(t, "12s", f.entryURL[1:])
	answers := f.askAll(t, f.entryURL[0], "entry")
	expectStopped(t, f.entry[0])
	answers.expectWhole(t)

	answers = f.askAll(t, f.entryURL[1], "side")
	NewWithT(t).Eventually(func() (int64, error) { return f.running(t.Context(), 0) }, patience, every).Should(BeNumerically(">", 0))
	expectStopped(t, f.side[0], f.desk)
	answers.expectWhole(t)
	expectAllCalled(t, live)
	expectTrained(t, trainer, steps)
	f.expectBookedOnce(t)
}

// expectStopped tells processes to stop as planned and waits for their end.
func expectStopped(t *testing.T, ps ...*process) {
	t.Helper()
	begin := time.Now()
	for _, p := range ps {
		p.signal(t, syscall.SIGTERM)
	}
	for _, p := range ps {
		NewWithT(t).Expect(p.code(t)).To(BeZero(), p.name)
	}
	NewWithT(t).Expect(time.Since(begin)).To(BeNumerically("<", stopWithin))
}

// askAll sends bookings and requests for streams to one entry and returns when
// all streams have begun; the bookings were sent before them and take longer
// than a stream takes to begin.
func (f *fleet) askAll(t *testing.T, url, name string) *inFlight {
	t.Helper()
	in := &inFlight{begun: make(chan struct{}, streams), ended: make(chan error, streams+booked), n: streams + booked}
	// Not the test's own context, which a failure elsewhere would end.
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	setFaults(t, f.service, object{"slowMs": bookingTime.Milliseconds()})
	for i := range booked {
		go func() {
			status, err := book(ctx, url, fmt.Sprintf("%s-%d", name, i), "stop")
			if err == nil && status != http.StatusCreated {
				err = fmt.Errorf("booking %d: status %d", i, status)
			}
			in.ended <- err
		}()
	}
	for i := range streams {
		go func() { in.ended <- in.stream(ctx, url, fmt.Sprintf("%s len=%d %d", name, tokens, i)) }()
	}
	for range streams {
		select {
		case <-in.begun:
		case err := <-in.ended:
			t.Fatalf("a request ended before the stop: %v", err)
		case <-ctx.Done():
			t.Fatal("not all streams begin")
		}
	}
	return in
}

// stream reads one answer and returns an error unless it is whole.
func (in *inFlight) stream(ctx context.Context, url, prompt string) error {
	raw, err := json.Marshal(object{"prompt": prompt, "maxTokens": tokens, "stream": true, "timeout": "50s"})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/models/reply/generate", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", prompt, resp.Status)
	}
	words := 0
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		data, found := bytes.CutPrefix(sc.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		var e struct {
			Text string `json:"text"`
			Done bool   `json:"done"`
		}
		if err := json.Unmarshal(data, &e); err != nil {
			return err
		}
		if words == 0 && e.Text != "" {
			in.begun <- struct{}{}
		}
		words += len(strings.Fields(e.Text))
		if e.Done && words == tokens {
			return nil
		}
	}
	return fmt.Errorf("%s: cut off after %d of %d words: %w", prompt, words, tokens, sc.Err())
}

// expectWhole waits until all requests have ended, each with a whole answer.
func (in *inFlight) expectWhole(t *testing.T) {
	t.Helper()
	for range in.n {
		select {
		case err := <-in.ended:
			if err != nil {
				t.Errorf("in flight when the stop came: %v", err)
			}
		case <-time.After(patience):
			t.Fatal("a request in flight got no answer")
		}
	}
}

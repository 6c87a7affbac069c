//go:build review

// Command review-cases plays the cases of the review that can't be put as a day of the bench: it
// starts the project's own programs as separate processes on loopback addresses, with stand-ins for
// the platform's store, workers and requesters, and judges what these see on their sockets.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a case with its clean-up.
const timeLimit = 110 * time.Second

// play is one case. It returns whether the rule was broken.
type play func(s *site, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"drain":   playDrain,
	"bodies":  playBodies,
	"endless": playEndless,
	"frozen":  playFrozen,
	"readers": playReaders,
	"retire":  playRetire,
	"spoilt":  playSpoilt,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t", os.Args[1], trouble)
	s, err := newSite(rec)
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	broken, err := playInTime(plays[os.Args[1]], s, trouble)
	switch {
	case err != nil:
		rec.printf("not run: %v", err)
		return exitNotRun
	case broken:
		rec.printf("verdict: the rule was broken")
		return exitBroken
	}
	rec.printf("verdict: the rule held")
	return exitHeld
}

func playInTime(p play, s *site, trouble bool) (bool, error) {
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := p(s, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		return o.broken, o.err
	case <-time.After(timeLimit):
		return false, errors.New("time is up")
	}
}

//go:build review

// Command rig starts a small deployment on loopback addresses and plays one case of the review.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	maxDuration = 110 * time.Second
)

// cases are the cases by name. trouble is false for the run without the disruption.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error){
	"once-replay":    onceReplay,
	"single-version": singleVersion,
	"expect-version": expectVersion,
	"two-services":   twoServices,
	"drain-cut":      drainCut,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	// The nodes get a SIGKILL when the thread that started them ends.
	runtime.LockOSThread()
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	var models []string
	if args[0] == "single-version" || args[0] == "two-services" {
		models = []string{"alpha", "beta"}
	}
	d, err := newDeployment(ctx, dir, rec, models...)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		rec.add("could not run: %v", err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("deployment ready, trouble: %v", trouble)
	broken, err := cases[args[0]](ctx, d, trouble)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		return exitFailed
	case broken:
		rec.add("RULE BROKEN")
		return exitBroken
	}
	rec.add("rule held")
	return exitHeld
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	retireItems = 48
	// retireGapMs makes an item last 6 to 8 s.
	retireGapMs = 400
	// retireKillAfter is the time from the 202 to the loss of two fronts, which are back after
	// retireDown, as is the store machine that loses its disk.
	retireKillAfter = 3 * time.Second
	retireDown      = 2 * time.Second
	// retireEnd is how long after that the batch submission is read: longer than recoveryS (12 s),
	// catchUpS (5.3 s) and finishS (10 s) together.
	retireEnd = 30 * time.Second
)

// playRetire has the operator empty a store machine just after the owner of a batch submission and
// another front are lost, and a second store machine lose its disk once the first one is gone.
func playRetire(s *site, trouble bool) (bool, error) {
	itemGap.Store(retireGapMs)
	if _, err := s.submitLot("lot-1", retireItems); err != nil {
		return false, err
	}
	time.Sleep(retireKillAfter)
	s.readLots("lot-1")
	if trouble {
		if err := s.retireAndWipe("lot-1"); err != nil {
			return false, err
		}
	}
	end := time.Now().Add(retireEnd)
	for time.Now().Before(end) {
		if best := s.readLots("lot-1"); best == retireItems {
			s.rec.printf("all results are listed")
			return false, nil
		}
		time.Sleep(2 * time.Second)
	}
	best := s.readLots("lot-1")
	s.rec.printf("at the end, %d of %d results can be read (-1: the batch submission can't be read)", best, retireItems)
	return best < 0, nil
}

// readLots reads a batch submission from the start at each front, and returns the most results that one
// has; -1 if none can read it.
func (s *site) readLots(id string) (best int) {
	best = -1
	var seen []string
	for i := range fronts {
		status, body := s.call(i, http.MethodGet, fmt.Sprintf("/lavendermux/lots/%s?after=0", id), "read", nil)
		var p lotPage
		if status == http.StatusOK && json.Unmarshal(body, &p) == nil {
			best = max(best, len(p.Results))
			seen = append(seen, fmt.Sprintf("200 with %d results", len(p.Results)))
			continue
		}
		seen = append(seen, fmt.Sprint(status))
	}
	s.rec.printf("read of %s at the fronts: %s", id, strings.Join(seen, ", "))
	return best
}

func (s *site) retireAndWipe(id string) error {
	owner := s.ownerOf(id)
	if owner < 0 {
		return errors.New("no front says that it holds the batch submission")
	}
	lost := []*node{s.nodes[owner], s.nodes[(owner+1)%fronts]}
	for _, n := range lost {
		s.rec.printf("%s loses power", n.name)
		n.signal(syscall.SIGKILL)
	}
	backAt := time.Now().Add(retireDown)
	retired, wiped := s.nodes[fronts], s.nodes[fronts+1]
	s.rec.printf("the operator asks to empty %s", retired.name)
	s.store.Put("op/retire/"+retired.name, map[string]any{"rampS": 10})
	for key, deadline := "status/retire/"+retired.name, time.Now().Add(20*time.Second); ; time.Sleep(5 * time.Millisecond) {
		raw, _ := s.store.Value(key)
		if strings.Contains(string(raw), "completed") {
			break
		}
		if time.Now().After(deadline) {
			return errors.Newf("%s isn't emptied: %s", retired.name, raw)
		}
	}
	s.rec.printf("%s is emptied: the operator takes it away with its disk", retired.name)
	retired.signal(syscall.SIGKILL)
	retired.wait(time.Second)
	if err := os.RemoveAll(filepath.Join(s.dir, retired.name)); err != nil {
		return err
	}
	s.rec.printf("%s loses its disk", wiped.name)
	wiped.signal(syscall.SIGKILL)
	wiped.wait(time.Second)
	if err := os.RemoveAll(filepath.Join(s.dir, wiped.name)); err != nil {
		return err
	}
	time.Sleep(time.Until(backAt))
	for _, n := range append(lost, wiped) {
		if err := n.writeSettings(); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		s.rec.printf("%s is back", n.name)
	}
	return nil
}

// ownerOf returns the front whose log says last that it holds a batch submission, or -1.
func (s *site) ownerOf(id string) int {
	for i := range fronts {
		raw, err := os.ReadFile(strings.TrimSuffix(s.nodes[i].file, ".toml") + ".log")
		if err == nil && strings.Contains(string(raw), `msg="Batch held." instance=`+s.nodes[i].name+" batch="+id) {
			return i
		}
	}
	return -1
}

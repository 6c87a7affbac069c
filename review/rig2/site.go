//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/platform/sims/simpst"
)

const (
	frontPort, readyPort = "8161", "8167"
	storePort            = "8169"
	workerPort           = "8165"
	bornMs               = 1700000000000
	fronts, stores       = 3, 3
	// workersPerService is the number of workers of each of the three services.
	workersPerService = 4
	readyTimeout      = 30 * time.Second
	// graceS is the bound of the settings.
	graceS = 8

	host         = "desk.example"
	plainPrefix  = "/desk/"
	streamPrefix = "/live/"
	lotPrefix    = "/lot/"
	model        = "draft"
	// maxBodyBytes is the limit of the manifest, that of the example on the users' pages.
	maxBodyBytes = 33554432
	// frontMemoryMb and storeMemoryMb are the memory of a front machine and of a store machine of the
	// site pwh-isd.
	frontMemoryMb, storeMemoryMb = 284, 344
)

type (
	// site is a small deployment: three machines of class front, three of class store, the
	// platform's store and the workers of two services.
	site struct {
		rec   *record
		dir   string
		base  string
		store *simpst.Store
		// nodes are the project's processes, the fronts first.
		nodes   []*node
		workers []*worker
		servers []*http.Server
	}

	// node is one process of the project.
	node struct {
		name, ip, file string
		// app is the address of the model worker beside it; "" for other machines.
		app  string
		site *site

		mu  sync.Mutex
		cmd *exec.Cmd
		// exited is closed when the process has ended.
		exited chan struct{}
	}
)

// newSite starts the stand-ins and the project's processes and waits until all fronts are ready.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, store: simpst.New(), base: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(240), rand.IntN(250))}
	if err := s.start(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) ip(n int) string { return fmt.Sprintf("%s%d", s.base, n) }

func (s *site) start() error {
	if err := s.serve(s.ip(1)+":"+storePort, &limitedStore{Store: s.store, rec: s.rec}); err != nil {
		return err
	}
	s.store.Put("op/config", manifest())
	for i, service := range []string{"desk", "talk", "lm"} {
		for k := range workersPerService {
			w := &worker{id: fmt.Sprintf("%s-%d", service, k), service: service, addr: s.ip(50+10*i+k) + ":" + workerPort, rec: s.rec, runs: make(map[string]*workerRun)}
			if service == "lm" {
				w.model = model
			}
			if err := s.serve(w.addr, w); err != nil {
				return err
			}
			s.workers = append(s.workers, w)
			s.store.Put("servers/"+w.id, w.entry())
		}
	}
	for i := range fronts {
		s.nodes = append(s.nodes, &node{name: fmt.Sprintf("front-%d", i), ip: s.ip(10 + i), site: s})
	}
	for i := range stores {
		s.nodes = append(s.nodes, &node{name: fmt.Sprintf("store-%d", i), ip: s.ip(20 + i), site: s})
	}
	for _, w := range s.workers {
		if w.model != "" {
			ip, _, _ := net.SplitHostPort(w.addr)
			s.nodes = append(s.nodes, &node{name: "side-" + w.id, ip: ip, app: w.addr, site: s})
		}
	}
	for _, n := range s.nodes {
		if err := n.writeSettings(); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

func (s *site) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }() // ends with the process
	return nil
}

func (s *site) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for i := range fronts {
		for !s.nodes[i].isReady() {
			if time.Now().After(deadline) {
				return errors.Newf("%s isn't ready", s.nodes[i].name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.rec.printf("all fronts are ready")
	time.Sleep(3 * time.Second) // contactMs
	return nil
}

// close ends all processes that were started.
func (s *site) close() {
	for _, n := range s.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		n.wait(5 * time.Second)
	}
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.rec.printf("logs are in %s", s.dir)
	}
}

// runs returns what the workers have of a request.
func (s *site) run(id string) workerRun {
	for _, w := range s.workers {
		if r := w.run(id); r.runs > 0 {
			return r
		}
	}
	return workerRun{}
}

func (n *node) writeSettings() error {
	n.file = filepath.Join(n.site.dir, n.name+".toml")
	class, memory, cpu, extra, listen := "front", frontMemoryMb, 0.304, "", fmt.Sprintf("front = %q\nready = %q\n", n.ip+":"+frontPort, n.ip+":"+readyPort)
	if strings.HasPrefix(n.name, "store") {
		class, memory, cpu, listen = "store", storeMemoryMb, 0.8, ""
		extra = fmt.Sprintf("dataDir = %q\n", filepath.Join(n.site.dir, n.name))
	}
	if n.app != "" {
		class, memory, cpu, listen = "side", 216, 0.32, ""
		extra = fmt.Sprintf("app = %q\nservice = \"lm\"\n", n.app)
	}
	text := fmt.Sprintf("nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = \"dc-a\"\nregion = \"r\"\ninternalPorts = [7720,7735]\n"+
		"seeds = []\nbootstrap = %t\ninTolerance = %t\n%sdiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"+
		"contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\",\"batch\",\"platform\"]\n"+
		"[zones]\ndc-a = \"r\"\n[listen]\n%s[limits]\ncpuShare = %g\ncpuCores = 1\nmemoryMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 530\n"+
		"[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"+
		"[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4.9\ndrainMs = 2000\ngraceS = %d\nlossSlackMs = 200\n"+
		"configApplyMs = 2000\ndowngradeMs = 250\nstretchMaxMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\nfinishS = 10\nstatusS = 120\n"+
		"cancelMs = 3000\nsettleMs = 1000\nquotaExcess = 0.1\nfenceRequired = false\nleaseMs = 3000\nthawMs = 300\n"+
		"[platform]\naddr = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
		n.name, class, class, class, n.ip, n.pid() == 0, class == "store", extra, listen, cpu, memory, graceS, n.site.ip(1)+":"+storePort)
	return os.WriteFile(n.file, []byte(text), 0o644)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(strings.TrimSuffix(n.file, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command("target/lavendermux", "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAVENDERMUX_NODE_FILE=" + n.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ends is seen by its callers
		close(exited)
	}()
	return nil
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig) // it may have ended
	}
}

// wait waits for the end of the process and reports whether it has ended.
func (n *node) wait(d time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ip + ":" + readyPort + "/lavendermux/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func manifest() any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-desk", "host": host, "prefix": plainPrefix, "kind": "idempotent", "timeoutMs": 20000, "targetLatencyMs": 150, "priority": 2, "service": "desk", "maxAttempts": 2},
			{"name": "r-lot", "host": host, "prefix": lotPrefix, "kind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 500, "priority": 1, "service": "lm", "maxAttempts": 3, "maxQueueS": 40.0, "resultDueMs": 7500, "singleVersion": false, "sessionAffinity": true, "resumable": true},
			{"name": "r-live", "host": host, "prefix": streamPrefix, "kind": "stream", "resumable": false, "timeoutMs": 60000, "targetLatencyMs": 500, "priority": 1, "service": "talk", "maxAttempts": 3},
		},
		"services": []map[string]any{
			{"name": "desk", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
			{"name": "talk", "healthPath": "/health", "maxConns": 150, "protocol": "h1", "tls": false},
			{"name": "lm", "healthPath": "/health", "maxConns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 12, "kvCapacity": 59538, "stride": 42, "models": []map[string]any{{"name": model}}}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
	"github.com/lavendermux/lavendermux/platform/sims/simpst"
	"github.com/lavendermux/lavendermux/platform/sims/simwkr"
)

const (
	program = "target/lavendermux"

	entries      = 3
	dataNodes    = 3
	engines      = 4
	plainWorkers = 2

	startTimeout         = 20 * time.Second
	registrationInterval = 300 * time.Millisecond
	eventInterval        = 20 * time.Millisecond

	frontPort  = "8161"
	readyPort  = "8167"
	workerPort = "8165"
	storePort  = "8169"
)

type (
	// deployment is a small deployment on loopback addresses: the stand-ins of the store and
	// the workers run in this process, and each node of the system in its own.
	deployment struct {
		dir     string
		subnet  string
		store   *simpst.Store
		engines []*simwkr.Worker
		plain   []*simwkr.Worker
		// longStreams serve the streams at the addresses of engines.
		longStreams []*longStreams
		// modelEngines take the place of engines if models isn't empty.
		modelEngines []*engine
		models       []string
		versions     *versions
		nodes        []*nodeProcess
		client       *http.Client
		record       *record
	}

	nodeProcess struct {
		name, ip string
		cmd      *exec.Cmd
	}

	// record writes what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		f     *os.File
		start time.Time
	}
)

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.f.WriteString(line)
	fmt.Print(line)
}

// newDeployment starts the deployment and returns once its entries are ready.
// With models, its engines are of type engine and serve these.
func newDeployment(ctx context.Context, dir string, rec *record, models ...string) (*deployment, error) {
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, subnet: subnet, store: simpst.New(), record: rec, models: models, versions: &versions{named: make(map[string]int64)},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := d.serve(ctx, d.ip(200, 1)+":"+storePort, d.store); err != nil {
		return nil, err
	}
	manifest := simcfg.Manifest(3, "desk")
	if len(models) > 0 {
		manifest = singleManifest(models...)
	}
	d.store.Put(simcfg.ManifestKey, manifest)
	for i := range engines {
		if len(models) > 0 {
			if err := d.serveEngine(ctx, newEngine(fmt.Sprintf("engine-%d", i), d.versions.newest, models...), d.ip(2, i+1)+":"+workerPort); err != nil {
				return nil, err
			}
			continue
		}
		w := simwkr.New(fmt.Sprintf("engine-%d", i), simwkr.WithModels(simcfg.Model), simwkr.WithEventInterval(eventInterval))
		d.engines = append(d.engines, w)
		long := &longStreams{next: w, cutAt: make(map[string]time.Time)}
		d.longStreams = append(d.longStreams, long)
		if err := d.serveWorker(ctx, w, long, "lm", d.ip(2, i+1)+":"+workerPort); err != nil {
			return nil, err
		}
	}
	for i := range plainWorkers {
		w := simwkr.New(fmt.Sprintf("desk-%d", i))
		d.plain = append(d.plain, w)
		if err := d.serveWorker(ctx, w, w, "desk", d.ip(3, i+1)+":"+workerPort); err != nil {
			return nil, err
		}
	}
	if err := d.startNodes(); err != nil {
		return nil, err
	}
	return d, d.awaitReady(ctx)
}

// freeSubnet returns the first two bytes of loopback addresses on which nothing listens.
func freeSubnet() (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		l, err := net.Listen("tcp", subnet+".200.1:"+storePort)
		if err == nil {
			return subnet, l.Close()
		}
	}
	return "", errors.New("no free loopback address")
}

func (d *deployment) ip(class, n int) string { return fmt.Sprintf("%s.%d.%d", d.subnet, class, n) }

func (d *deployment) serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	return nil
}

// serveWorker serves a worker and registers it.
func (d *deployment) serveWorker(ctx context.Context, w *simwkr.Worker, h http.Handler, service, addr string) error {
	if err := d.serve(ctx, addr, h); err != nil {
		return err
	}
	go d.register(ctx, w.ID(), func() []byte { return w.Registration(service, addr, "zone-a", "ready") })
	return nil
}

func (d *deployment) serveEngine(ctx context.Context, e *engine, addr string) error {
	d.modelEngines = append(d.modelEngines, e)
	if err := d.serve(ctx, addr, e); err != nil {
		return err
	}
	go d.register(ctx, e.id, func() []byte { return e.registration(addr) })
	return nil
}

// register maintains a worker's entry in the store.
func (d *deployment) register(ctx context.Context, id string, entry func() []byte) {
	var last []byte
	for ctx.Err() == nil {
		if e := entry(); !bytes.Equal(e, last) {
			d.store.Put("servers/"+id, e)
			last = e
		}
		time.Sleep(registrationInterval)
	}
}

func (d *deployment) startNodes() error {
	for i := range entries {
		d.nodes = append(d.nodes, &nodeProcess{name: fmt.Sprintf("front-%d", i), ip: d.ip(1, i+1)})
	}
	for i := range dataNodes {
		d.nodes = append(d.nodes, &nodeProcess{name: fmt.Sprintf("store-%d", i), ip: d.ip(4, i+1)})
	}
	for i := range engines {
		d.nodes = append(d.nodes, &nodeProcess{name: fmt.Sprintf("side-%d", i), ip: d.ip(2, i+1)})
	}
	for i, n := range d.nodes {
		class := "front"
		if i >= entries {
			class = "store"
		}
		if i >= entries+dataNodes {
			class = "side"
		}
		if err := d.start(n, class); err != nil {
			return err
		}
	}
	return nil
}

// start starts a node with the command of the deploy file.
func (d *deployment) start(n *nodeProcess, class string) error {
	file := filepath.Join(d.dir, n.name+".toml")
	if err := os.WriteFile(file, []byte(d.settings(n, class)), 0o644); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(d.dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.cmd = exec.Command(program, "node")
	n.cmd.Env = append(os.Environ(), simcfg.SettingsEnv(file))
	n.cmd.Stdout, n.cmd.Stderr = out, out
	// A node must not outlive this process.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

// settings returns a settings file like those of the site pwh-isd.
func (d *deployment) settings(n *nodeProcess, class string) string {
	listen, extra, memory, share := "", "", 284, 0.304
	switch class {
	case "front":
		listen = fmt.Sprintf("[listen]\nfront = %q\nready = %q\n", n.ip+":"+frontPort, n.ip+":"+readyPort)
	case "store":
		extra, memory, share = fmt.Sprintf("dataDir = %q\n", filepath.Join(d.dir, n.name)), 344, 0.8
	case "side":
		extra, memory, share = fmt.Sprintf("app = %q\nservice = \"lm\"\n", n.ip+":"+workerPort), 216, 0.32
	}
	return fmt.Sprintf(`nodeName = %q
role = "node"
machineClass = %q
ip = %q
zone = "zone-a"
region = "region-a"
internalPorts = [7720,7735]
bootstrap = true
inTolerance = %v
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
%s[zones]
zone-a = "region-a"
%s[limits]
cpuShare = %v
cpuCores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
catchUpS = 5.3
drainMs = 2000
graceS = 8
configApplyMs = 2000
recoveryS = 12
finishS = 10
statusS = 120
cancelMs = 3000
settleMs = 1000
fenceRequired = false
leaseMs = 3000
thawMs = 300
[platform]
addr = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, n.name, class, n.ip, class == "store", extra, listen, share, memory, d.ip(200, 1)+":"+storePort)
}

func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range d.nodes[:entries] {
		for {
			status, _, err := d.call(ctx, http.MethodGet, n.ip+":"+readyPort, "", "/lavendermux/ready", "", nil, nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s isn't ready: %d %v", n.name, status, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // the nodes meet
	return nil
}

// stop ends the processes that this deployment started.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
}

func (n *nodeProcess) front() string { return n.ip + ":" + frontPort }

// call sends a request on a new connection, as requesters do.
func (d *deployment) call(ctx context.Context, method, addr, host, path, id string, header map[string]string, body []byte) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		return 0, nil, err
	}
	r.Host = host
	if id != "" {
		r.Header.Set("Attempt-Id", id)
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/ecfg"
	"github.com/lavendermux/lavendermux/entry"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/memnet"
	"github.com/lavendermux/lavendermux/netset"
	"github.com/lavendermux/lavendermux/scfg"
	"github.com/lavendermux/lavendermux/side"
	"github.com/lavendermux/lavendermux/sims/simeng"
	"github.com/lavendermux/lavendermux/sims/simkv"
	"github.com/lavendermux/lavendermux/sims/simlst"
	"github.com/lavendermux/lavendermux/sims/simscr"
	"github.com/lavendermux/lavendermux/sims/simsvc"
	"github.com/lavendermux/lavendermux/sims/simwts"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	kvIP      = "10.0.0.1"
	listIP    = "10.0.0.2"
	weightsIP = "10.0.0.3"
	scorerIP  = "10.0.0.4"
	clientIP  = "10.0.9.1"

	lmService           = "tutor-lm"
	deskService         = "booking-api"
	model               = "reply"
	pool                = "tutor-lm"
	trainerSubscription = "replies"
)

type (
	// world is a small deployment on an in-memory network, in virtual time: real
	// entries and sidecars, and simulators for the rest.
	world struct {
		t        *testing.T
		net      *memnet.Network
		kv       *simkv.Server
		list     *simlst.Server
		weights  *simwts.Server
		scorer   *simscr.Server
		engines  []*simeng.Server
		services []*simsvc.Server
		entries  []*process
		sides    []*process
		desks    []*process
		client   *http.Client
		log      *bytes.Buffer
		regions  bool
		dataDirs []string
	}

	// process is an entry or a sidecar.
	process struct {
		ip     string
		name   string
		cancel context.CancelFunc
		done   chan error
	}

	size struct {
		entries, engines, desks int
		engine                  []simeng.Option
		// store makes engines fetch staged weights from the weight store.
		store bool
		// regions puts the data centre maardu into a region of its own.
		regions bool
		// disks is how many of the entries have a disk.
		disks int
	}
)

// newWorld starts a deployment, applies its resources and waits until it serves.
func newWorld(t *testing.T, n size) *world {
	w := &world{
		t:       t,
		net:     memnet.New(memnet.WithDelay(time.Millisecond)),
		kv:      simkv.New(),
		list:    simlst.New(),
		weights: simwts.New(),
		scorer:  simscr.New(),
		log:     &bytes.Buffer{},
		regions: n.regions,
	}
	w.client = w.net.Client(clientIP)
	w.serve(kvIP, w.kv)
	w.serve(listIP, w.list)
	w.serve(weightsIP, w.weights)
	w.serve(scorerIP, w.scorer)
	for i := range n.engines {
		opts := []simeng.Option{simeng.WithModel(model, "1"), simeng.WithSeed(uint64(i + 1)), simeng.WithSlots(8, 64)}
		if n.store {
			opts = append(opts, simeng.WithWeights("http://"+weightsIP+":80"), simeng.WithHTTP(w.net.Client(engineIP(i))))
		}
		w.engines = append(w.engines, simeng.New(append(opts, n.engine...)...))
		w.serve(engineIP(i), w.engines[i])
	}
	for i := range n.desks {
		w.services = append(w.services, simsvc.New())
		w.serve(serviceIP(i), w.services[i])
	}
	for i := range n.entries {
		w.list.Put(insts.Instance{ID: entryName(i), Role: insts.RoleEntry, DataCentre: dataCentre(i), Region: w.region(i),
			Address: entryIP(i) + ":81", State: insts.StateLive})
	}
	for i := range n.engines {
		w.list.Put(insts.Instance{ID: sideName(i), Role: insts.RoleEndpoint, Service: lmService, DataCentre: dataCentre(i),
			Region: w.region(i), Address: sideIP(i) + ":80", State: insts.StateLive})
	}
	for i := range n.desks {
		w.list.Put(insts.Instance{ID: deskName(i), Role: insts.RoleEndpoint, Service: deskService, DataCentre: dataCentre(i),
			Region: w.region(i), Address: deskIP(i) + ":80", State: insts.StateLive})
	}
	for range n.disks {
		w.dataDirs = append(w.dataDirs, t.TempDir())
	}
	for i := range n.entries {
		w.entries = append(w.entries, w.startEntry(i))
	}
	for i := range n.engines {
		w.sides = append(w.sides, w.startSide(i))
	}
	for i := range n.desks {
		w.desks = append(w.desks, w.startDesk(i))
	}
	w.applyResources()
	return w
}

func (w *world) region(i int) string {
	if w.regions && dataCentre(i) == "maardu" {
		return "ee-south"
	}
	return "ee-north"
}

func dataCentre(i int) string     { return []string{"tln-a", "tln-b", "maardu"}[i%3] }
func entryName(i int) string      { return fmt.Sprintf("entry-%d", i+1) }
func sideName(i int) string       { return fmt.Sprintf("%s-%d", lmService, i+1) }
func deskName(i int) string       { return fmt.Sprintf("%s-%d", deskService, i+1) }
func entryIP(i int) string        { return fmt.Sprintf("10.0.1.%d", i+1) }
func sideIP(i int) string         { return fmt.Sprintf("10.0.2.%d", i+1) }
func engineIP(i int) string       { return fmt.Sprintf("10.0.3.%d", i+1) }
func deskIP(i int) string         { return fmt.Sprintf("10.0.5.%d", i+1) }
func serviceIP(i int) string      { return fmt.Sprintf("10.0.4.%d", i+1) }
func (w *world) url(i int) string { return "http://" + entryIP(i) + ":80" }

func (w *world) urls() []string {
	var out []string
	for i := range w.entries {
		out = append(out, w.url(i))
	}
	return out
}

func (w *world) serve(ip string, h http.Handler) {
	if _, err := w.net.Serve(ip+":80", h); err != nil {
		w.t.Fatalf("serving %s: %v", ip, err)
	}
}

func (w *world) netOf(ip string) *netset.Network {
	return netset.New(netset.WithListen(w.net.Listen), netset.WithDial(w.net.Dialer(ip)))
}

func (w *world) logger(name string) *log.Logger {
	return log.NewWithOptions(w.log, log.Options{Prefix: name, ReportTimestamp: true, Level: log.InfoLevel})
}

func (w *world) startEntry(i int) *process {
	cfg := ecfg.Default()
	cfg.Instance, cfg.DataCentre, cfg.Region = entryName(i), dataCentre(i), w.region(i)
	cfg.Listen, cfg.PeerListen = entryIP(i)+":80", entryIP(i)+":81"
	cfg.KeyValue, cfg.InstanceList, cfg.WeightStore = "http://"+kvIP+":80", "http://"+listIP+":80", "http://"+weightsIP+":80"
	cfg.ReadyGrace = xtime.Duration(time.Second)
	if i < len(w.dataDirs) {
		cfg.DataDir = w.dataDirs[i]
	}
	e := entry.New(cfg, entry.WithNet(w.netOf(entryIP(i))), entry.WithLog(w.logger(cfg.Instance)))
	return w.run(entryIP(i), cfg.Instance, e.Run)
}

func (w *world) startSide(i int) *process {
	cfg := scfg.Default()
	cfg.Instance, cfg.Service, cfg.DataCentre, cfg.Region = sideName(i), lmService, dataCentre(i), w.region(i)
	cfg.Listen, cfg.Engine, cfg.Slots = sideIP(i)+":80", "http://"+engineIP(i)+":80", 8
	cfg.KeyValue, cfg.InstanceList = "http://"+kvIP+":80", "http://"+listIP+":80"
	s := side.New(cfg, side.WithNet(w.netOf(sideIP(i))), side.WithLog(w.logger(cfg.Instance)))
	return w.run(sideIP(i), cfg.Instance, s.Run)
}

func (w *world) startDesk(i int) *process {
	cfg := scfg.Default()
	cfg.Instance, cfg.Service, cfg.DataCentre, cfg.Region = deskName(i), deskService, dataCentre(i), w.region(i)
	cfg.Listen, cfg.PlainService = deskIP(i)+":80", "http://"+serviceIP(i)+":80"
	cfg.KeyValue, cfg.InstanceList = "http://"+kvIP+":80", "http://"+listIP+":80"
	s := side.New(cfg, side.WithNet(w.netOf(deskIP(i))), side.WithLog(w.logger(cfg.Instance)))
	return w.run(deskIP(i), cfg.Instance, s.Run)
}

func (w *world) run(ip, name string, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{ip: ip, name: name, cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- run(ctx) }()
	return p
}

// kill ends a process as SIGKILL does: its connections are reset and it reaches
// nobody.
func (w *world) kill(p *process) {
	w.net.Kill(p.ip)
	_ = w.stop(p)
}

// stop ends a process by a planned stop and returns the result of Run.
func (w *world) stop(p *process) error {
	p.cancel()
	err := <-p.done
	p.done <- nil
	return err
}

// restart kills a process and starts it again at the same address.
func (w *world) restart(group []*process, i int, start func(int) *process) {
	w.kill(group[i])
	group[i] = start(i)
}

// close ends everything, so that the synctest bubble can end.
func (w *world) close() {
	if w.t.Failed() {
		w.t.Logf("log:\n%s", tail(w.log.String(), 200))
	}
	for _, group := range [][]*process{w.entries, w.sides, w.desks} {
		for _, p := range group {
			p.cancel()
		}
	}
	for _, group := range [][]*process{w.entries, w.sides, w.desks} {
		for _, p := range group {
			if err := <-p.done; err != nil {
				w.t.Logf("%s ended with %v", p.name, err)
			}
		}
	}
	w.client.CloseIdleConnections()
	w.net.Close()
}

func tail(s string, lines int) string {
	all := strings.Split(s, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// applyResources applies the resources and waits until requests of each kind are
// served.
func (w *world) applyResources() {
	w.until("entries are ready", time.Minute, func() bool {
		for i := range w.entries {
			if status, _ := w.do(http.MethodGet, w.url(i)+"/readyz", nil, nil); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	w.apply("pool", pool, map[string]any{"service": lmService, "models": []string{model}, "scorer": "http://" + scorerIP + ":80",
		"stagePerSecond": 10, "minimumSlots": 8, "guaranteeSlots": 16})
	w.apply("service", deskService, map[string]any{"service": deskService, "keyWindow": "2m"})
	w.apply("subscription", trainerSubscription, map[string]any{"pool": pool, "model": model, "stalenessBound": 2, "cursor": true, "groupSize": 4})
	w.until("models answer", time.Minute, func() bool {
		for i := range w.entries {
			if status, _ := w.generate(i, "ready?", 2); status != http.StatusOK {
				return false
			}
			if status, _ := w.do(http.MethodGet, w.url(i)+"/v1/subscriptions/"+trainerSubscription+"/status", nil, nil); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	if len(w.desks) > 0 {
		w.until("bookings are accepted", time.Minute, func() bool {
			status, _ := w.do(http.MethodPost, w.url(0)+"/v1/services/"+deskService+"/bookings",
				map[string]string{"slot": "ready", "family": "ready"}, map[string]string{"Idempotency-Key": "ready"})
			return status/100 == 2
		})
	}
}

func (w *world) apply(kind, name string, spec any) {
	w.t.Helper()
	status, body := w.do(http.MethodPut, w.url(0)+"/v1/resources/"+kind+"/"+name, map[string]any{
		"apiVersion": "lavendermux/v1", "kind": kind, "name": name, "spec": spec,
	}, nil)
	if status/100 != 2 {
		w.t.Fatalf("applying %s %s: %d %s", kind, name, status, body)
	}
}

// until waits in virtual time for a condition.
func (w *world) until(what string, within time.Duration, cond func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(within)
	for !cond() {
		if time.Now().After(deadline) {
			w.t.Fatalf("not within %s: %s\n%s", within, what, tail(w.log.String(), 60))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// do sends one request and returns its body and status; the status is 0 when no
// complete response arrived.
func (w *world) do(method, url string, in any, header map[string]string) (int, []byte) {
	status, _, body := w.exchange(method, url, in, header)
	return status, body
}

// exchange is do with the header of the response.
func (w *world) exchange(method, url string, in any, header map[string]string) (int, http.Header, []byte) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if text, asItIs := in.(rawJSON); asItIs {
			raw, err = []byte(text), nil
		}
		if err != nil {
			w.t.Fatal(err)
		}
		body = io.MultiReader(bytes.NewReader(raw))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		w.t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	return resp.StatusCode, resp.Header, raw
}

func (w *world) generate(i int, prompt string, maxTokens int) (int, []byte) {
	return w.do(http.MethodPost, w.url(i)+"/v1/models/"+model+"/generate",
		map[string]any{"prompt": prompt, "maxTokens": maxTokens, "timeout": "20s"}, nil)
}

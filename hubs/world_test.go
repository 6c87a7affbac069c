package hubs_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/beats"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/fleet"
	"github.com/lavendermux/lavendermux/hubs"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/keyval"
	"github.com/lavendermux/lavendermux/sims/simkv"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

const (
	kvHost = "kv"
	// tcpOverhead is what TCP and IP add to a request and its response, in bytes: four
	// segments with 52 bytes of headers each.
	tcpOverhead = 4 * 52
	// http2Overhead is what HTTP/2 adds to a call on a connection that has carried a
	// few, in bytes. BenchmarkBeatOverLoopback reports 233 bytes for a heartbeat of 163
	// and a response of 20 or so.
	http2Overhead = 60
)

var errCut = errors.New("connection refused")

type (
	// testFleet is a fleet in one process: each instance has its real heartbeat client,
	// cache, view and hub; the network between them is a map of handlers.
	testFleet struct {
		mu    sync.Mutex
		hosts map[string]http.Handler
		sent  map[string]int
		calls map[string]int
		cut   func(from, to string) bool
		// silenced ends all calls to the metadata store that wait without a response; it is closed
		// and replaced.
		silenced chan struct{}
		kv       *simkv.Server
		listed   []insts.Instance
		lists    int
		// kvCalls counts the calls to the metadata store in each second.
		kvCalls map[int64]int
		nodes   map[string]*node
	}

	node struct {
		id        string
		place     place
		boot      int64
		testFleet *testFleet
		cache     *confs.Cache
		view      *fleet.View
		hub       *hubs.Hub
		client    *beats.Client
		cancel    context.CancelFunc
		done      sync.WaitGroup

		mu       sync.Mutex
		draining bool
		leaving  bool
		models   []*wire.ModelState
		jobs     []*wire.JobState
	}

	place struct {
		dataCentre string
		region     string
	}

	transport struct {
		testFleet *testFleet
		from      string
	}

	// peerHandler is the part of the peer service that the hub implements; the rest
	// isn't called here.
	peerHandler struct {
		wireconnect.UnimplementedPeerServiceHandler
		hub *hubs.Hub
	}
)

func (p peerHandler) Beat(ctx context.Context, r *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatResponse], error) {
	return p.hub.Beat(ctx, r)
}

func (p peerHandler) Fetch(ctx context.Context, r *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	return p.hub.Fetch(ctx, r)
}

func (p peerHandler) Members(ctx context.Context, r *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	return p.hub.Members(ctx, r)
}

func newTestFleet() *testFleet {
	w := &testFleet{
		hosts: map[string]http.Handler{},
		sent:  map[string]int{},
		calls: map[string]int{},
		cut:   func(string, string) bool { return false },
		kv:    simkv.New(),
		nodes: map[string]*node{},

		silenced: make(chan struct{}),
		kvCalls:  map[int64]int{},
	}
	w.hosts[kvHost] = w.kv
	return w
}

// RoundTrip passes the request to the handler of its host. The bytes of request and
// response are counted at both ends.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := t.testFleet
	w.mu.Lock()
	handler := w.hosts[req.URL.Host]
	gone := handler == nil || w.cut(t.from, req.URL.Host)
	silenced := w.silenced
	w.calls[req.URL.Path]++
	if req.URL.Host == kvHost {
		w.kvCalls[time.Now().Unix()]++
	}
	w.mu.Unlock()
	if gone {
		return nil, errCut
	}
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
	}
	in := req.Clone(req.Context())
	in.Body = io.NopCloser(strings.NewReader(string(body)))
	in.RequestURI = req.URL.RequestURI()
	rec := httptest.NewRecorder()
	failed := make(chan any, 1)
	go func() {
		defer func() { failed <- recover() }()
		handler.ServeHTTP(rec, in)
	}()
	select {
	case <-req.Context().Done():
		<-failed
		return nil, req.Context().Err()
	case p := <-failed:
		if p != nil {
			return nil, errCut
		}
	}
	if req.URL.Host == kvHost {
		select {
		case <-silenced:
			<-req.Context().Done()
			return nil, req.Context().Err()
		default:
		}
	}
	// A cut also drops responses in flight.
	w.mu.Lock()
	gone = w.cut(t.from, req.URL.Host)
	w.mu.Unlock()
	if gone {
		return nil, errCut
	}
	resp := rec.Result()
	size := len(body) + rec.Body.Len() + http2Overhead + tcpOverhead
	w.mu.Lock()
	w.sent[t.from] += size
	w.sent[req.URL.Host] += size
	w.mu.Unlock()
	return resp, nil
}

func (w *testFleet) add(id string, role string, p place) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = append(w.listed, insts.Instance{
		ID: id, Role: role, DataCentre: p.dataCentre, Region: p.region, Address: id, State: insts.StateLive,
	})
}

func (w *testFleet) list(context.Context) ([]insts.Instance, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lists++
	return append([]insts.Instance{}, w.listed...), nil
}

// start runs an instance that was added before.
func (w *testFleet) start(id string, seed uint64) *node {
	w.mu.Lock()
	var self insts.Instance
	for _, i := range w.listed {
		if i.ID == id {
			self = i
		}
	}
	w.mu.Unlock()
	quiet := log.New(io.Discard)
	n := &node{
		id: id, place: place{self.DataCentre, self.Region}, boot: time.Now().UnixNano(),
		testFleet: w, cache: confs.New(), view: fleet.New(),
	}
	httpClient := &http.Client{Transport: transport{testFleet: w, from: id}}
	opts := []beats.Option{beats.WithHTTP(httpClient), beats.WithSeed(seed), beats.WithLogger(quiet)}
	if self.Role == insts.RoleEntry {
		n.hub = hubs.New(func() *wire.EntryState { return n.beat().GetEntry() }, n.cache,
			keyval.New("http://"+kvHost, keyval.WithHTTP(httpClient)),
			hubs.WithHTTP(httpClient), hubs.WithSeed(seed), hubs.WithView(n.view), hubs.WithLogger(quiet),
			hubs.WithShouldBeHub(func() bool { return n.client.ShouldBeHub() }),
			hubs.WithCandidates(func() []insts.Instance { return n.client.Candidates() }))
		opts = append(opts, beats.WithView(n.view), beats.WithLocal(n.hub))
	}
	n.client = beats.New(n.beat, w.list, n.cache, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Go(func() { n.client.Run(ctx) })
	if n.hub != nil {
		n.done.Go(func() { n.hub.Run(ctx) })
		_, handler := wireconnect.NewPeerServiceHandler(peerHandler{hub: n.hub}, connect.WithCompressMinBytes(512))
		w.mu.Lock()
		w.hosts[id] = handler
		w.mu.Unlock()
	}
	w.mu.Lock()
	w.nodes[id] = n
	w.mu.Unlock()
	return n
}

func (n *node) beat() *wire.BeatRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hub != nil {
		return &wire.BeatRequest{Entry: &wire.EntryState{
			Instance: n.id, DataCentre: n.place.dataCentre, Region: n.place.region, Address: n.id, Boot: n.boot,
			Jobs: n.jobs, Leaving: n.leaving,
		}}
	}
	return &wire.BeatRequest{Endpoint: &wire.EndpointState{
		Instance: n.id, Service: "filing-lm", DataCentre: n.place.dataCentre, Region: n.place.region,
		Address: n.id, Boot: n.boot, Draining: n.draining, Models: n.models, Ready: true,
		Load: &wire.DoorLoad{Slots: 8, Running: n.boot % 8, Waiting: 1, AheadTokens: 4000},
	}}
}

// kill stops an instance without notice.
func (w *testFleet) kill(id string) {
	w.mu.Lock()
	n := w.nodes[id]
	delete(w.nodes, id)
	delete(w.hosts, id)
	w.mu.Unlock()
	n.cancel()
	n.done.Wait()
}

func (w *testFleet) stopAll() {
	for id := range w.snapshot() {
		w.kill(id)
	}
}

func (w *testFleet) snapshot() map[string]*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]*node{}
	for id, n := range w.nodes {
		out[id] = n
	}
	return out
}

func (w *testFleet) setCut(cut func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// silenceStore loses the responses to all calls of the metadata store that wait now.
func (w *testFleet) silenceStore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.silenced)
	w.silenced = make(chan struct{})
}

// write changes a pool in the metadata store directly, without the resource API, and
// returns the revision.
func (w *testFleet) write(t testing.TB, name string, n int) int64 {
	t.Helper()
	c := keyval.New("http://"+kvHost, keyval.WithHTTP(&http.Client{Transport: transport{testFleet: w, from: "operator"}}))
	key := "resources/pool/" + name
	expect := int64(0)
	if rec, err := c.Get(t.Context(), key); err == nil {
		expect = rec.Revision
	}
	body := fmt.Sprintf(`{"apiVersion":"lavendermux/v1","kind":"pool","name":%q,"operation":"op-%d",`+
		`"spec":{"service":"filing-lm","models":["m"],"maxOutput":%d}}`, name, n, n)
	revision, err := c.Put(t.Context(), key, []byte(body), expect, 0)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func (w *testFleet) remove(t testing.TB, name string) {
	t.Helper()
	c := keyval.New("http://"+kvHost, keyval.WithHTTP(&http.Client{Transport: transport{testFleet: w, from: "operator"}}))
	rec, err := c.Get(t.Context(), "resources/pool/"+name)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Delete(t.Context(), rec.Key, rec.Revision); err != nil {
		t.Fatal(err)
	}
}

func inDataCentre(id string, n int) bool {
	return strings.HasPrefix(id, fmt.Sprintf("entry-%d-", n)) || strings.HasPrefix(id, fmt.Sprintf("worker-%d-", n))
}

// waitInForce waits until all live instances have applied a revision, and returns how
// long that took.
func (w *testFleet) waitInForce(revision int64, limit time.Duration) (time.Duration, error) {
	begin := time.Now()
	for time.Since(begin) < limit {
		synctest.Wait()
		behind := 0
		for _, n := range w.snapshot() {
			if n.cache.Revision() < revision {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(begin), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return limit, errors.Newf("not in force everywhere after %s", limit)
}

func (w *testFleet) hubs(dataCentre string) []string {
	out := []string{}
	for id, n := range w.snapshot() {
		if n.hub != nil && n.hub.Active() && (dataCentre == "" || n.place.dataCentre == dataCentre) {
			out = append(out, id)
		}
	}
	return out
}

// addDataCentres adds and starts data centres with the given numbers of entries and
// workers each, four to a region.
func (w *testFleet) addDataCentres(dataCentres, entries, workers int) {
	seed := uint64(1)
	ids := []string{}
	for d := range dataCentres {
		p := place{fmt.Sprintf("dc-%d", d), fmt.Sprintf("region-%d", d/4)}
		for i := range entries {
			ids = append(ids, fmt.Sprintf("entry-%d-%d", d, i))
			w.add(ids[len(ids)-1], insts.RoleEntry, p)
		}
		for i := range workers {
			ids = append(ids, fmt.Sprintf("worker-%d-%d", d, i))
			w.add(ids[len(ids)-1], insts.RoleEndpoint, p)
		}
	}
	for _, id := range ids {
		w.start(id, seed)
		seed++
	}
}

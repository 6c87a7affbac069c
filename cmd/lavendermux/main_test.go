package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/lavendermux/lavendermux/acts"
	"github.com/lavendermux/lavendermux/audit"
	"github.com/lavendermux/lavendermux/auth"
	"github.com/lavendermux/lavendermux/change"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/counts"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/keyval"
	"github.com/lavendermux/lavendermux/opapi"
	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
	"github.com/lavendermux/lavendermux/sims/simkv"
	"github.com/lavendermux/lavendermux/spread"
	"github.com/lavendermux/lavendermux/views"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	poolFile = `[
  {"apiVersion":"lavendermux/v1","kind":"subscription","name":"t1","spec":{"pool":"filing-lm","model":"draft"}},
  {"apiVersion":"lavendermux/v1","kind":"pool","name":"filing-lm","spec":{"service":"filing-lm","models":["draft"]}}
]`
	staleFile   = `{"apiVersion":"lavendermux/v1","kind":"pool","name":"filing-lm","revision":1,"spec":{"service":"other","models":["draft"]}}`
	invalidFile = `{"apiVersion":"lavendermux/v1","kind":"pool","name":"filing-lm","spec":{"service":"filing-lm","model":["draft"]}}`
	policyFile  = `{"apiVersion":"lavendermux/v1","kind":"policy","name":"default","spec":{"objectives":[
  {"name":"answers","service":"case-desk","success":0.999,"latency":"500ms"}]}}`
	sideFile = `{"instance":"case-desk-1","service":"case-desk","dataCentre":"shah-alam","region":"klang-valley","listen":"127.0.0.1:9000",
  "plainService":"http://127.0.0.1:4","keyValue":"http://127.0.0.1:1","instanceList":"http://127.0.0.1:2"}`
)

var (
	clock        = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	reportTimes  = regexp.MustCompile(`burn at \d{4}-\d\d-\d\d \d\d:\d\dZ`)
	operationIDs = regexp.MustCompile(`[A-Z2-7]{26}`)
)

// fixture is one entry with its metadata store.
type fixture struct {
	store      *simkv.Server
	folder     string
	url        string
	transcript strings.Builder

	counts  *counts.Recorder
	reasons *audit.Log
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{store: simkv.New(), folder: t.TempDir()}
	store := httptest.NewServer(f.store)
	t.Cleanup(store.Close)
	kv := keyval.New(store.URL)
	cache := confs.New()
	api := opapi.New(
		change.New(kv, change.WithClock(func() time.Time { return clock })), cache,
		opapi.WithPropagation(func(_ context.Context, revision int64) (spread.Report, error) {
			if revision > 2 {
				return spread.Report{Instances: 1, Total: 2, Lagging: []string{"entry-2"}}, nil
			}
			return spread.Report{Instances: 2, Total: 2, Since: clock}, nil
		}),
	)
	router := mux.NewRouter()
	router.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			syncConfig(r.Context(), kv, cache)
			next.ServeHTTP(w, r)
		})
	})
	api.Register(router)
	now := func() time.Time { return clock }
	f.counts = counts.New("entry-1", cache, counts.WithClock(now))
	f.counts.Register(router)
	f.reasons = audit.New("entry-1", audit.WithClock(now))
	f.reasons.Register(router)
	entry := httptest.NewServer(router)
	t.Cleanup(entry.Close)
	f.url = entry.URL
	return f
}

// syncConfig updates the entry's configuration from the metadata store.
func syncConfig(ctx context.Context, kv *keyval.Client, cache *confs.Cache) {
	recs, revision, err := kv.List(ctx, "resources/")
	if err != nil {
		return
	}
	resp := &wire.FetchResponse{Revision: revision, Whole: true}
	for _, rec := range recs {
		if r, ok := confs.FromRecord(rec); ok {
			resp.Resources = append(resp.Resources, r)
		}
	}
	cache.Apply(resp)
}

// run runs a command line and adds its output and exit code to the transcript.
func (f *fixture) run(in string, args ...string) {
	var out, errOut bytes.Buffer
	s := &session{ctx: context.Background(), in: strings.NewReader(in), out: &out, errOut: &errOut}
	code := run(s, append([]string{"--entry", f.url}, args...))
	text := fmt.Sprintf("$ lavendermux %s\n%s%s(exit code %d)\n\n", strings.Join(args, " "), &out, &errOut, code)
	text = strings.ReplaceAll(text, f.url, "http://entry")
	text = strings.ReplaceAll(text, f.folder, "folder")
	f.transcript.WriteString(operationIDs.ReplaceAllString(text, "OPERATION"))
}

// TestCommandLine checks the output and the exit codes, which scripts rely on, of valid
// and invalid commands.
func TestCommandLine(t *testing.T) {
	f := newFixture(t)
	f.run(invalidFile, "apply", "-f", "-")
	f.run(poolFile, "apply", "-f", "-", "--wait", "100ms")
	f.run(poolFile, "apply", "-f", "-")
	f.run("", "get")
	f.run("", "get", "subscription", "t1", "-o", "json")
	f.run("", "get", "pool", "nothing")
	f.run("", "get", "polls")
	f.run("", "status", "pool", "filing-lm")
	f.run("", "delete", "pool", "filing-lm")
	f.run("", "delete", "subscription", "t1")
	f.run("", "status", "subscription", "t1", "--wait", "100ms")
	f.run("", "status", "subscription", "t1", "-o", "json")
	f.run(strings.Replace(staleFile, `"revision":1`, `"revision":9`, 1), "apply", "-f", "-")
	f.run(staleFile, "apply", "-f", "-")
	f.run("", "watch", "pool", "--count", "1")
	f.run("", "delete", "pool")
	f.run("", "gett")
	f.run("", "apply", "-f", filepath.Join(f.folder, "none.json"))
	goldie.New(t).Assert(t, "session", []byte(f.transcript.String()))
}

// While the metadata store is down, a script must be able to tell a change that was
// certainly not applied from one whose outcome it has to check.
func TestCommandLineInAnOutage(t *testing.T) {
	f := newFixture(t)
	f.run(poolFile, "apply", "-f", "-")
	f.transcript.Reset()
	f.store.SetDown(true)
	f.run("", "get")
	g := NewWithT(t)
	g.Expect(f.transcript.String()).To(ContainSubstring("filing-lm"))
	g.Expect(f.transcript.String()).To(ContainSubstring("note: the key-value service gives no answer"))
	g.Expect(f.transcript.String()).To(ContainSubstring("(exit code 0)"))
	f.transcript.Reset()
	f.run(staleFile, "apply", "-f", "-")
	g.Expect(f.transcript.String()).To(ContainSubstring("not run (keyValueDown)"))
	g.Expect(f.transcript.String()).To(ContainSubstring("(exit code 5)"))
}

// If one of two entries is down, the report must still show the data of the other and
// name the entry that is missing.
func TestReportsOfSeveralEntries(t *testing.T) {
	f := newFixture(t)
	f.run("", "explain", "pool", "filing-lm")
	f.run(policyFile, "apply", "-f", "-")
	f.counts.Live("case-officer", "case-desk", time.Second, nil)
	f.counts.Live("creditor", "case-desk", time.Second, &fault.NotRunError{Cause: "saturated"})
	f.reasons.Record("pool", "filing-lm", acts.Action{
		Verb: acts.VerbReassign, Summary: "w7 to live", Cause: "liveWaits", Reason: "12 live requests waited for 3 slots",
	})
	f.run("", "explain", "pool", "filing-lm", "--entry", "http://127.0.0.1:1")
	f.run("", "explain", "pool", "filing-lm", "-o", "json")
	f.run("", "report", "burn", "--entry", "http://127.0.0.1:1")
	f.run("", "report", "burn", "-o", "html", "--file", filepath.Join(f.folder, "burn.html"))
	text := reportTimes.ReplaceAllString(f.transcript.String(), "TIME")
	goldie.New(t).Assert(t, "reports", []byte(text))
	page, err := os.ReadFile(filepath.Join(f.folder, "burn.html"))
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(HavePrefix("<!doctype html>"))
}

// A generated token must be accepted with the printed line of the token file, and the
// line must not contain the token.
func TestSettingsToken(t *testing.T) {
	var out, errOut bytes.Buffer
	s := &session{ctx: t.Context(), out: &out, errOut: &errOut}
	g := NewWithT(t)
	g.Expect(run(s, []string{"settings", "token", "anna", "--kinds", "pool=write;*=read"})).To(Equal(exitOK))
	token := strings.TrimSpace(out.String())
	g.Expect(errOut.String()).NotTo(ContainSubstring(token))
	keys, err := auth.Load([]byte(`{"tokens":[` + errOut.String() + `]}`))
	g.Expect(err).NotTo(HaveOccurred())
	handler := keys.Middleware(http.NotFoundHandler())
	for method, code := range map[string]int{http.MethodGet: http.StatusNotFound, http.MethodPut: http.StatusForbidden} {
		r := httptest.NewRequest(method, "/v1/resources/policy/p", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		g.Expect(w.Code).To(Equal(code))
	}
	g.Expect(run(s, []string{"settings", "token", "anna", "--kinds", "pol=write"})).To(Equal(exitInvalid))
}

func TestSettingsCheck(t *testing.T) {
	f := newFixture(t)
	file := filepath.Join(f.folder, "side.json")
	if err := os.WriteFile(file, []byte(sideFile), 0o600); err != nil {
		t.Fatal(err)
	}
	f.run("", "settings", "check", "side", file)
	f.run("", "settings", "check", "entry", file)
	f.run("{}", "settings", "check", "side", "-")
	goldie.New(t).Assert(t, "settings", []byte(f.transcript.String()))
}

// The settings of a machine lack the address of the metadata store, and a manifest
// routes requests to a service that doesn't exist. The check must name the field, before
// a process starts with it or clients get 503.
func TestSettingsCheckOfADeployment(t *testing.T) {
	f := newFixture(t)
	f.run(simcfg.Settings(simcfg.Node{Name: "entry-0", IP: "10.0.0.1", StoreAddr: "10.0.0.9:1", ClientPort: "80", ReadyPort: "81"}), "settings", "check", "node", "-")
	f.run(simcfg.Settings(simcfg.Node{Name: "entry-0", IP: "10.0.0.1"}), "settings", "check", "node", "-")
	manifest, err := json.Marshal(simcfg.Manifest(3, "dest"))
	if err != nil {
		t.Fatal(err)
	}
	f.run(string(manifest), "settings", "check", "manifest", "-")
	goldie.New(t).Assert(t, "deployment", []byte(f.transcript.String()))
}

// One process of a deployment has an older manifest and one is down. The output must
// name both, and the exit code must show it to scripts.
func TestInstances(t *testing.T) {
	g := NewWithT(t)
	serve := func(v views.View) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == views.Path {
				_ = json.NewEncoder(w).Encode(v) // a failed write means that the test has ended
			}
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	current := serve(views.View{Instance: "entry-0", Role: views.RoleEntry, Manifest: 4, Ready: true, StoreReachable: true})
	outdated := serve(views.View{Instance: "entry-1", Role: views.RoleEntry, Manifest: 3, Ready: true, StoreReachable: true})
	var out, errOut bytes.Buffer
	s := &session{ctx: t.Context(), out: &out, errOut: &errOut}
	g.Expect(run(s, []string{"instances", current})).To(Equal(exitOK))
	g.Expect(errOut.String()).To(BeEmpty())
	g.Expect(run(s, []string{"instances", current, outdated, "127.0.0.1:1"})).To(Equal(exitIncomplete))
	g.Expect(out.String()).To(ContainSubstring("entry-1"))
	g.Expect(errOut.String()).To(ContainSubstring("entry-1: manifest 3, others have 4"))
	g.Expect(errOut.String()).To(ContainSubstring("127.0.0.1:1: no answer"))
}

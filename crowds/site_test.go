package crowds

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
	"github.com/lavendermux/lavendermux/platform/sims/simcli"
	"github.com/lavendermux/lavendermux/platform/sims/simpst"
	"github.com/lavendermux/lavendermux/platform/sims/simwkr"
)

const (
	// memoryMb and maxFds are the limits of each process. The smallest machines in service have this
	// memory; the descriptors are fewer than theirs, and so are the connections of a crowd.
	memoryMb = 112
	maxFds   = 700
	// reservedFds is the number of descriptors that aren't for sockets.
	reservedFds = 200
	// bodyLimit is the limit of the manifest on bodies, as on deployments in service, and headLimit that
	// on heads.
	bodyLimit = 32 << 20
	headLimit = 16384
	// settleTime is how long a process has to read what the crowd has sent.
	settleTime = time.Second

	clientPort  = "8161"
	readyPort   = "8167"
	workerPort  = "8165"
	peerPort    = "7720"
	metricsPort = "9464"
)

// site is a deployment of one entry, one data instance and one sidecar, with stand-ins for the rest of
// the platform.
type site struct {
	base              string
	store             *simpst.Store
	entry, data, side *process
	http              *http.Client
}

// newSite starts a deployment whose manifest limits bodies to maxBody bytes, and waits until it serves.
func newSite(t *testing.T, maxBody int) *site {
	t.Helper()
	pid := os.Getpid()
	s := &site{base: fmt.Sprintf("127.%d.%d.", 160+pid>>8&31, pid&255), store: simpst.New(), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	s.serve(t, s.ip(1)+":"+workerPort, s.store)
	s.store.Put(simcfg.ManifestKey, simcfg.WithBodies(simcfg.Manifest(1, "desk"), maxBody))
	s.addWorker(t, simwkr.New("desk-0"), "desk", s.ip(2))
	s.addWorker(t, simwkr.New("engine-0", simwkr.WithModels(simcfg.Model)), "lm", s.ip(3))
	dir := t.TempDir()
	s.entry = s.startNode(t, dir, simcfg.Node{Name: "entry-0", IP: s.ip(4), ClientPort: clientPort, ReadyPort: readyPort})
	s.data = s.startNode(t, dir, simcfg.Node{Name: "data-0", IP: s.ip(5), DataDir: filepath.Join(dir, "disk")})
	s.side = s.startNode(t, dir, simcfg.Node{Name: "side-0", IP: s.ip(3), EngineAddr: s.ip(3) + ":" + workerPort})
	s.awaitAnswer(t)
	return s
}

func (s *site) ip(n int) string { return s.base + fmt.Sprint(n) }

func (s *site) startNode(t *testing.T, dir string, n simcfg.Node) *process {
	t.Helper()
	n.StoreAddr, n.MemoryMb, n.MaxFds = s.ip(1)+":"+workerPort, memoryMb, maxFds
	file := filepath.Join(dir, n.Name+".toml")
	if err := os.WriteFile(file, []byte(simcfg.Settings(n)), 0o600); err != nil {
		t.Fatal(err)
	}
	return start(t, n.Name, []string{simcfg.SettingsEnv(file)}, "node")
}

// addWorker serves a worker and keeps it registered.
func (s *site) addWorker(t *testing.T, w *simwkr.Worker, service, ip string) {
	t.Helper()
	const interval = 500 * time.Millisecond
	s.serve(t, ip+":"+workerPort, w)
	tick := time.NewTicker(interval)
	t.Cleanup(tick.Stop)
	register := func() { s.store.Put("servers/"+w.ID(), w.Registration(service, ip+":"+workerPort, "dc-a", "ready")) }
	register()
	go func() {
		for {
			select {
			case <-tick.C:
				register()
			case <-t.Context().Done():
				return
			}
		}
	}()
}

func (s *site) serve(t *testing.T, addr string, h http.Handler) {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: waitTimeout}
	go func() { _ = srv.Serve(l) }() // returns when srv is closed
	t.Cleanup(func() { _ = srv.Close() })
}

func (s *site) clientAddr() string { return s.ip(4) + ":" + clientPort }

// call sends one request to the entry and returns its status.
func (s *site) call(ctx context.Context, id, host, path string, body io.Reader) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.clientAddr()+path, body)
	if err != nil {
		return 0, err
	}
	r.Host = host
	r.Header.Set(simcfg.HeaderID, id)
	resp, err := s.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// awaitAnswer waits until an ordinary request is answered.
func (s *site) awaitAnswer(t *testing.T) {
	t.Helper()
	n := 0
	NewWithT(t).Eventually(func() (int, error) {
		n++
		return s.call(t.Context(), fmt.Sprint("ordinary-", n), simcfg.PlainHost, simcfg.IdempotentPath+"x", strings.NewReader("x"))
	}, waitTimeout, pollInterval).Should(Equal(http.StatusOK))
}

// awaitGet waits until a GET request to one of the addresses of a process is answered.
func (s *site) awaitGet(t *testing.T, url string) {
	t.Helper()
	NewWithT(t).Eventually(func() error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := s.http.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}, waitTimeout, pollInterval).Should(Succeed())
}

// withstand sends a crowd to an address of a process, and checks that the process lives, stays within its
// limits and answers afterwards, while the crowd's connections are open and again when they are closed.
func (s *site) withstand(t *testing.T, p *process, addr string, clients []simcli.Client) {
	t.Helper()
	g := NewWithT(t)
	crowd := simcli.Open(t.Context(), addr, clients)
	defer crowd.Close()
	time.Sleep(settleTime)
	s.awaitAnswer(t)
	s.awaitGet(t, "http://"+addr+"/")
	t.Logf("%s: peak %d MB, %d descriptors, %d of %d connections left", p.name, p.peakMemory(t)>>20, p.maxFds.Load(), crowd.Open(), len(clients))
	crowd.Close()
	s.awaitAnswer(t)
	s.awaitGet(t, "http://"+addr+"/")
	g.Expect(p.running()).To(BeTrue(), "%s ended", p.name)
	g.Expect(p.peakMemory(t)).To(BeNumerically("<=", memoryMb<<20), "memory of %s", p.name)
	g.Expect(p.maxFds.Load()).To(BeNumerically("<=", maxFds-reservedFds), "descriptors of %s", p.name)
}

// submission returns a submission whose items have the given total size.
func submission(id string, size int) []byte {
	const items = 64
	raw := simcfg.Submission(id, 0, items, 1, 1)
	pad := bytes.Repeat([]byte("QUJD"), (size-len(raw))/items/4)
	return bytes.ReplaceAll(raw, []byte(`"body":"`), append([]byte(`"body":"`), pad...))
}

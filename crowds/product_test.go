package crowds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/platform/sims/simcli"
	"github.com/lavendermux/lavendermux/sims/simkv"
	"github.com/lavendermux/lavendermux/sims/simlst"
	"github.com/lavendermux/lavendermux/sims/simsvc"
	"github.com/lavendermux/lavendermux/sims/simwts"
)

const (
	// instanceMemoryMb is the memory that the design gives an instance of the product's own interface.
	instanceMemoryMb = 128
	// defaultMaxBody is the default limit of an entry on bodies.
	defaultMaxBody = 1000000
)

// product is a deployment of one entry and the sidecar of a plain service, with the product's own
// interface.
type product struct {
	base                string
	entryAddr, peerAddr string
	sideAddr            string
	entry, side         *process
}

func newProduct(t *testing.T) *product {
	t.Helper()
	pid := os.Getpid()
	base := fmt.Sprintf("127.%d.%d.", 192+pid>>8&31, pid&255)
	p := &product{base: base, entryAddr: base + "4:8161", peerAddr: base + "4:7720", sideAddr: base + "5:7720"}
	s := &site{}
	list := simlst.New(simlst.WithLag(0))
	s.serve(t, base+"1:7000", simkv.New())
	s.serve(t, base+"1:7001", list)
	s.serve(t, base+"1:7002", simwts.New())
	s.serve(t, base+"1:7300", simsvc.New())
	list.Put(insts.Instance{ID: "entry-0", Role: insts.RoleEntry, DataCentre: "dc-a", Region: "r", Address: p.peerAddr, State: insts.StateLive})
	list.Put(insts.Instance{ID: "desk-0", Role: insts.RoleEndpoint, Service: "desk", DataCentre: "dc-a", Region: "r", Address: p.sideAddr, State: insts.StateLive})
	dir := t.TempDir()
	common := map[string]any{"dataCentre": "dc-a", "region": "r", "keyValue": "http://" + base + "1:7000", "instanceList": "http://" + base + "1:7001"}
	p.entry = start(t, "entry-0", nil, "entry", "--settings", p.write(t, dir, "entry-0", common, map[string]any{
		"instance": "entry-0", "listen": p.entryAddr, "peerListen": p.peerAddr, "weightStore": "http://" + base + "1:7002"}))
	p.side = start(t, "desk-0", nil, "side", "--settings", p.write(t, dir, "desk-0", common, map[string]any{
		"instance": "desk-0", "listen": p.sideAddr, "service": "desk", "plainService": "http://" + base + "1:7300"}))
	file := p.write(t, dir, "service", nil, map[string]any{"apiVersion": "lavendermux/v1", "kind": "service", "name": "desk", "spec": map[string]any{
		"service": "desk", "idempotentMethods": []string{"GET"}, "timeout": "5s", "slotsPerEndpoint": 32}})
	NewWithT(t).Eventually(func() error {
		return exec.CommandContext(t.Context(), program, "apply", "--entry", "http://"+p.entryAddr, "--file", file).Run()
	}, waitTimeout, pollInterval).Should(Succeed())
	p.awaitAnswer(t)
	return p
}

func (p *product) write(t *testing.T, dir, name string, common, own map[string]any) string {
	t.Helper()
	for k, v := range common {
		own[k] = v
	}
	raw, err := json.Marshal(own)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// awaitAnswer waits until an ordinary request is answered by the plain service.
func (p *product) awaitAnswer(t *testing.T) {
	t.Helper()
	NewWithT(t).Eventually(func() (int, error) {
		return get(t.Context(), "http://"+p.entryAddr+"/v1/services/desk/status/case-1")
	}, waitTimeout, pollInterval).Should(Equal(http.StatusOK))
}

// get sends a GET request on a connection of its own.
func get(ctx context.Context, url string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// withstand checks that a process lives, stays within its memory and answers, while the connections that
// open returns are open and after they are closed.
func (p *product) withstand(t *testing.T, of *process, addr string, open func() io.Closer) {
	t.Helper()
	g := NewWithT(t)
	crowd := open()
	time.Sleep(settleTime)
	answered := func() {
		p.awaitAnswer(t)
		g.Eventually(func() error { _, err := get(t.Context(), "http://"+addr+"/"); return err }, waitTimeout, pollInterval).Should(Succeed())
	}
	answered()
	g.Expect(crowd.Close()).To(Succeed())
	answered()
	t.Logf("%s: peak %d MB", of.name, of.peakMemory(t)>>20)
	g.Expect(of.running()).To(BeTrue(), "%s ended", of.name)
	g.Expect(of.peakMemory(t)).To(BeNumerically("<=", instanceMemoryMb<<20), "memory of %s", of.name)
}

type closer func()

// Close implements io.Closer.
func (f closer) Close() error { f(); return nil }

// crowd returns a function that opens n connections of the client.
func crowd(t *testing.T, addr string, n int, c simcli.Client) func() io.Closer {
	t.Helper()
	return func() io.Closer { return closer(simcli.Open(t.Context(), addr, simcli.Repeat(n, c)).Close) }
}

// longHead is a head of a megabyte of short fields that doesn't end.
func longHead() simcli.Client {
	return simcli.Client{Method: http.MethodGet, Host: "any", Path: "/", HeadBytes: 1000000, HeadMissing: true}
}

// The own interface keeps long heads within its memory.
func TestProductEntryHeads(t *testing.T) {
	p := newProduct(t)
	p.withstand(t, p.entry, p.entryAddr, crowd(t, p.entryAddr, 100, longHead()))
}

// The address for peers of an entry of the own interface keeps long heads within its memory.
func TestProductEntryPeerAddressHeads(t *testing.T) {
	p := newProduct(t)
	p.withstand(t, p.entry, p.peerAddr, crowd(t, p.peerAddr, 100, longHead()))
}

// The own interface keeps bodies within its memory that stop short of their end.
func TestProductEntryBodies(t *testing.T) {
	p := newProduct(t)
	c := simcli.Client{Method: http.MethodPost, Host: "any", Path: "/v1/services/desk/bookings", Framing: simcli.WithLength, BodyBytes: defaultMaxBody, BodyMissing: 1000}
	p.withstand(t, p.entry, p.entryAddr, crowd(t, p.entryAddr, 150, c))
}

// The own interface keeps chunked bodies within its memory that stop short of their end.
func TestProductEntryChunkedBodies(t *testing.T) {
	p := newProduct(t)
	c := simcli.Client{Method: http.MethodPost, Host: "any", Path: "/v1/services/desk/bookings", Framing: simcli.Chunked, ChunkBytes: 2, BodyBytes: defaultMaxBody, BodyMissing: 1000}
	p.withstand(t, p.entry, p.entryAddr, crowd(t, p.entryAddr, 150, c))
}

// The sidecar of the own interface keeps long heads within its memory.
func TestProductSideHeads(t *testing.T) {
	p := newProduct(t)
	p.withstand(t, p.side, p.sideAddr, crowd(t, p.sideAddr, 100, longHead()))
}

// The sidecar of the own interface keeps bodies within its memory that stop short of their end.
func TestProductSideBodies(t *testing.T) {
	p := newProduct(t)
	c := simcli.Client{Method: http.MethodPost, Host: "any", Path: "/lavendermux.v1.DoorService/Call", Header: map[string]string{"Content-Type": "application/proto"},
		Framing: simcli.WithLength, BodyBytes: 8 << 20, BodyMissing: 1000}
	p.withstand(t, p.side, p.sideAddr, crowd(t, p.sideAddr, 40, c))
}

// The own interface keeps heads over HTTP/2 within its memory that are continued without end.
func TestProductEntryContinuedHeads(t *testing.T) {
	p := newProduct(t)
	p.withstand(t, p.entry, p.entryAddr, framers(t, p.entryAddr, 100, func(f *http2.Framer) error {
		if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: requestHead(http.MethodGet, "/")}); err != nil {
			return err
		}
		for i := range 1000 {
			if err := f.WriteContinuation(1, false, field(fmt.Sprintf("x%d", i), strings.Repeat("v", 1000))); err != nil {
				return err
			}
		}
		return nil
	}))
}

// The own interface keeps bodies of many streams on each connection within its memory that nobody ends.
func TestProductEntryStreamsWithoutEnd(t *testing.T) {
	p := newProduct(t)
	p.withstand(t, p.entry, p.entryAddr, framers(t, p.entryAddr, 20, func(f *http2.Framer) error {
		const streams, pieces, pieceBytes = 100, 12, 16 << 10
		for i := range streams {
			id := uint32(2*i + 1)
			if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, EndHeaders: true, BlockFragment: requestHead(http.MethodPost, "/v1/services/desk/bookings")}); err != nil {
				return err
			}
			for range pieces {
				if err := f.WriteData(id, false, make([]byte, pieceBytes)); err != nil {
					return err
				}
			}
		}
		return nil
	}))
}

// framers returns a function that opens n connections over HTTP/2 and writes frames on each, as far as
// the server accepts them.
func framers(t *testing.T, addr string, n int, write func(*http2.Framer) error) func() io.Closer {
	t.Helper()
	return func() io.Closer {
		const writeTimeout = 5 * time.Second
		var mu sync.Mutex
		var conns []net.Conn
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() {
				var d net.Dialer
				conn, err := d.DialContext(t.Context(), "tcp", addr)
				if err != nil {
					return // refused
				}
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
				go func() { _, _ = io.Copy(io.Discard, conn) }() // ends when conn is closed
				if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
					return
				}
				f := http2.NewFramer(conn, nil)
				if err := f.WriteSettings(); err == nil {
					_ = write(f) // the server may refuse the rest
				}
			})
		}
		wg.Wait()
		return closer(func() {
			for _, c := range conns {
				_ = c.Close()
			}
		})
	}
}

func requestHead(method, path string) []byte {
	return append(append(append(field(":method", method), field(":scheme", "http")...), field(":path", path)...), field(":authority", "any")...)
}

func field(name, value string) []byte {
	var b strings.Builder
	_ = hpack.NewEncoder(&b).WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: true}) // a Builder never fails
	return []byte(b.String())
}

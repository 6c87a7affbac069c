package procs

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
)

// nodeMetricsPort is where a node that has started accepts connections.
const nodeMetricsPort = "9464"

type (
	// service is a program that must survive SIGHUP.
	service struct {
		command []string
		env     string
		// settings is its settings file, addr where it accepts connections.
		settings, addr string
	}

	// safeBuffer is a buffer for the output of a process that still runs.
	safeBuffer struct {
		mu  sync.Mutex
		buf bytes.Buffer
	}
)

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// A terminal closes, or an operator has all processes reload their settings: SIGHUP arrives in
// series from the first instant of a process that was started with SIGHUP ignored, as
// docs/OPERATIONS.md asks of supervisors, and again while it serves. An entry and a sidecar
// ended by it, with the requests in flight.
func TestHangups(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	for name, s := range services(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var out safeBuffer
			cmd := exec.CommandContext(t.Context(), programPath(t, "lavendermux"), s.command...)
			cmd.Env = append(os.Environ(), s.env)
			cmd.Stdout, cmd.Stderr = &out, &out
			g.Expect(cmd.Start()).To(Succeed())
			exited := make(chan error, 1)
			go func() { exited <- cmd.Wait() }()
			hangup := func() { g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed(), "%s", &out) }
			g.Eventually(func() error {
				hangup()
				return connect(t.Context(), s.addr)
			}, waitTimeout, time.Millisecond).Should(Succeed())

			raw, err := os.ReadFile(s.settings)
			g.Expect(err).NotTo(HaveOccurred())
			for _, change := range []struct {
				settings []byte
				log      string
			}{
				{raw, "changed=false needsRestart=false"},
				{bytes.Replace(raw, []byte("dc-a"), []byte("dc-b"), 1), "changed=true needsRestart=true"},
				{[]byte("{"), "Settings not reloaded."},
			} {
				g.Expect(os.WriteFile(s.settings, change.settings, 0o600)).To(Succeed())
				g.Eventually(func() string {
					hangup()
					return out.String()
				}, waitTimeout, pollInterval).Should(ContainSubstring(change.log))
			}
			g.Expect(connect(t.Context(), s.addr)).To(Succeed())
			g.Expect(exited).NotTo(Receive())
			g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
			g.Eventually(exited, waitTimeout).Should(Receive(Succeed()), "%s", &out)
		})
	}
}

func services(t *testing.T) map[string]service {
	t.Helper()
	dir, addrs := t.TempDir(), addresses(t, 3)
	const nobody = "http://127.0.0.1:1"
	entry := fmt.Sprintf(`{"instance":"entry-1","dataCentre":"dc-a","region":"r","listen":%q,"peerListen":%q,"keyValue":%q,
  "instanceList":%q,"weightStore":%q,"readyGrace":"1ms"}`, addrs[0], addrs[1], nobody, nobody, nobody)
	side := fmt.Sprintf(`{"instance":"desk-1","service":"desk","dataCentre":"dc-a","region":"r","listen":%q,"plainService":%q,
  "keyValue":%q,"instanceList":%q}`, addrs[2], nobody, nobody, nobody)
	ip, _, err := net.SplitHostPort(addrs[0])
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	node := simcfg.Settings(simcfg.Node{Name: "data-1", IP: ip, StoreAddr: "127.0.0.1:1"})
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	entryFile, sideFile, nodeFile := write("entry.json", entry), write("side.json", side), write("node.toml", node)
	return map[string]service{
		"entry": {command: []string{"entry", "--settings", entryFile}, settings: entryFile, addr: addrs[0]},
		"side":  {command: []string{"side", "--settings", sideFile}, settings: sideFile, addr: addrs[2]},
		"node": {command: []string{"node"}, env: simcfg.SettingsEnv(nodeFile), settings: nodeFile,
			addr: net.JoinHostPort(ip, nodeMetricsPort)},
	}
}

func connect(ctx context.Context, addr string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return c.Close()
}

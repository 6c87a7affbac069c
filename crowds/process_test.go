package crowds

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// waitTimeout limits every wait for a condition; it allows for a busy machine.
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// program is the path of the program under test, which is built once.
var program string

// process is a process of the product.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// maxFds is the largest number of open descriptors seen by watchFds.
	maxFds atomic.Int64
}

// TestMain builds the program under test.
func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowds")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "lavendermux")
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", program, "../cmd/lavendermux").CombinedOutput()
	if err != nil {
		fmt.Printf("building the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// start runs the program until the test ends.
func start(t *testing.T, name string, env []string, args ...string) *process {
	t.Helper()
	logFile, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, done: make(chan struct{})}
	p.cmd = exec.CommandContext(context.Background(), program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	// The process must not outlive a killed test and keep its addresses in use.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("starting %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	go p.watchFds()
	t.Cleanup(func() {
		if p.running() {
			_ = p.cmd.Process.Kill()
		}
		<-p.done
		_ = logFile.Close()
		if raw, err := os.ReadFile(logFile.Name()); err == nil && t.Failed() {
			t.Logf("== %s\n%s", name, raw[max(0, len(raw)-4000):])
		}
	})
	return p
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kb, err := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
	return kb << 10
}

// watchFds notes the number of open descriptors until the process ends.
func (p *process) watchFds() {
	const interval = 20 * time.Millisecond
	for p.running() {
		if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.maxFds.Store(max(p.maxFds.Load(), int64(len(list))))
		}
		time.Sleep(interval)
	}
}

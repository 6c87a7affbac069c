package procs

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// patience bounds every wait for a condition; a busy machine is slow.
	patience = 60 * time.Second
	every    = 50 * time.Millisecond
)

type (
	// process is one program that a test started.
	process struct {
		name string
		cmd  *exec.Cmd
		out  bytes.Buffer
		log  bytes.Buffer
		// done closes when the process has ended.
		done chan struct{}
	}

	programs struct {
		once sync.Once
		dir  string
		err  error
		out  []byte
	}
)

var built programs

// TestMain removes the built programs at the end.
func TestMain(m *testing.M) {
	code := m.Run()
	if built.dir != "" {
		_ = os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

// program returns the path of one of the programs, which are built once.
func program(t *testing.T, name string) string {
	t.Helper()
	built.once.Do(func() {
		built.dir, built.err = os.MkdirTemp("", "procs")
		if built.err != nil {
			return
		}
		cmd := exec.CommandContext(context.Background(), "go", "build", "-o", built.dir+"/", "../cmd/lavendermux", "../cmd/standin")
		built.out, built.err = cmd.CombinedOutput()
	})
	if built.err != nil {
		t.Fatalf("building the programs: %v\n%s", built.err, built.out)
	}
	return filepath.Join(built.dir, name)
}

// start runs a program until it ends or the test does.
func start(t *testing.T, name, prog string, args ...string) *process {
	t.Helper()
	p := &process{name: name, done: make(chan struct{})}
	p.cmd = exec.CommandContext(context.Background(), program(t, prog), args...)
	p.cmd.Stdout = &p.out
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("starting %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		if p.running() {
			// A stopped process can be killed, too.
			_ = p.cmd.Process.Kill()
		}
		<-p.done
		if t.Failed() {
			t.Logf("== %s: exit code %d\n%s\n%s", name, p.cmd.ProcessState.ExitCode(), p.out.Bytes(), tail(p.log.Bytes()))
		}
	})
	return p
}

func tail(log []byte) []byte {
	const most = 8000
	return log[max(0, len(log)-most):]
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to a process that this test started and that runs.
func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if !p.running() {
		t.Fatalf("%s ended by itself", p.name)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatalf("signalling %s: %v", p.name, err)
	}
}

// code waits for the end of the process and returns its exit code.
func (p *process) code(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(patience):
		t.Fatalf("%s still runs after %v", p.name, patience)
		return -1
	}
}

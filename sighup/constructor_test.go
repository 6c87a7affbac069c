//go:build cgo && linux

package sighup_test

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/sighup"
)

// printIgnored is the environment variable that makes the test program print whether it
// ignores SIGHUP, instead of running tests.
const printIgnored = "SIGHUP_PRINT_IGNORED"

func TestMain(m *testing.M) {
	if os.Getenv(printIgnored) != "" {
		fmt.Println(signal.Ignored(syscall.SIGHUP))
		return
	}
	os.Exit(m.Run())
}

// A service that has not come to main yet must survive a SIGHUP, and an operator's command
// must still end with its terminal.
func TestIgnoredBeforeMain(t *testing.T) {
	g := NewWithT(t)
	for _, service := range sighup.Services {
		g.Expect(ignoredBy(t, service)).To(BeTrue(), service)
	}
	inherited := signal.Ignored(syscall.SIGHUP)
	for _, args := range [][]string{{"get", "node"}, {"nodes"}, {""}, {}} {
		g.Expect(ignoredBy(t, args...)).To(Equal(inherited), "%q", args)
	}
}

func ignoredBy(t *testing.T, args ...string) bool {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0], args...)
	cmd.Env = append(os.Environ(), printIgnored+"=1")
	out, err := cmd.Output()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ignored, err := strconv.ParseBool(strings.TrimSpace(string(out)))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return ignored
}

package sighup_test

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/sighup"
)

// A SIGHUP to all processes, to reload their settings, can reach one that has just
// started. It must not kill the process at any point of its start; a data instance was
// lost that way.
func TestHangupAtTheStart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(sighup.Catch([]string{"get", "pool"})).To(BeNil())
	g.Expect(sighup.Catch(nil)).To(BeNil())
	for _, service := range []string{"node", "entry", "side"} {
		hangups := sighup.Catch([]string{service})
		g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		g.Eventually(hangups, 5*time.Second).Should(Receive(Equal(syscall.SIGHUP)))
		signal.Stop(hangups)
	}
}

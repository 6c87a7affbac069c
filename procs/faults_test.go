package procs

import (
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// The machine that runs the entry in charge of a pool goes away in the middle of
// a training step, and so does the process beside a booking service, which comes
// back empty. The trainer waits until another entry takes over and still gets
// each sample once; a parent's booking may end in "outcome unknown", but no slot
// is booked twice.
func TestKills(t *testing.T) {
	t.Parallel()
	const steps = 3
	f := newFleet(t)
	place, fence := f.awaitHolder(t)
	trainer := f.trainer(t, place, steps)
	live := f.live(t, "10s", f.entryURL)
	f.awaitMidStep(t, trainer)
	f.entry[place].signal(t, syscall.SIGKILL)
	booking := f.booking(t, "10s", f.entryURL)
	NewWithT(t).Eventually(func() int { return len(f.bookings(t)) }, patience, every).Should(BeNumerically(">", 10))
	f.desk.signal(t, syscall.SIGKILL)
	<-f.desk.done
	NewWithT(t).Expect(booking.running()).To(BeTrue())
	f.startDesk(t)
	f.awaitLaterHolder(t, place, fence)
	expectCalled(t, booking)
	expectCalled(t, live)
	expectTrained(t, trainer, steps)
	f.expectBookedOnce(t)
	// The one that came back serves whole answers again.
	rest := append(append([]string{}, f.entryURL[:place]...), f.entryURL[place+1:]...)
	expectAllCalled(t, f.booking(t, "2s", rest))
}

// The entry in charge of a pool is paused, as by a machine that is moved, for
// longer than its lease lasts. Another entry takes over, and then the first one
// wakes up in the middle of what it was doing, sure that it is still in charge.
// The trainer sees a pause, but no sample twice and none too old.
func TestPauseLongerThanLease(t *testing.T) {
	t.Parallel()
	const steps = 3
	f := newFleet(t)
	place, fence := f.awaitHolder(t)
	// The trainer is patient enough to hear what its pull at the paused entry comes
	// to: an answer of a holder that has been overtaken.
	trainer := f.trainer(t, place, steps, "--pull-wait", "40s")
	f.awaitMidStep(t, trainer)
	f.entry[place].signal(t, syscall.SIGSTOP)
	f.awaitLaterHolder(t, place, fence)
	NewWithT(t).Expect(trainer.running()).To(BeTrue())
	f.entry[place].signal(t, syscall.SIGCONT)
	live := f.live(t, "3s", f.entryURL)
	expectTrained(t, trainer, steps)
	expectAllCalled(t, live)
	NewWithT(t).Expect(f.entry[place].running()).To(BeTrue())
}

// The platform's key-value service is down for ten seconds in the middle of a
// training step, which with an unlucky renewal is long enough for the pool's job
// to change hands. Callers notice nothing; the trainer may wait for some seconds,
// and each sample that it gets it gets once.
func TestKeyValueDown(t *testing.T) {
	t.Parallel()
	const steps = 6
	f := newFleet(t)
	trainer := f.trainer(t, 0, steps)
	f.awaitMidStep(t, trainer)
	setFaults(t, f.kv, object{"down": true})
	// The outage lasts as long as these callers do.
	live := f.live(t, "10s", f.entryURL)
	booking := f.booking(t, "10s", f.entryURL)
	expectAllCalled(t, booking)
	expectAllCalled(t, live)
	setFaults(t, f.kv, object{"down": false})
	expectTrained(t, trainer, steps)
	f.expectBookedOnce(t)
}

// expectBookedOnce checks that bookings ran, and none of them twice.
func (f *fleet) expectBookedOnce(t *testing.T) {
	t.Helper()
	runs := f.bookings(t)
	NewWithT(t).Expect(runs).NotTo(BeEmpty())
	for slot, n := range runs {
		if n != 1 {
			t.Errorf("%s was booked %d times", slot, n)
		}
	}
}

package matrix

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// mortal is an instance of the plain service that ends while it runs a deadly booking, and
// is back three seconds later.
type mortal struct {
	w  *world
	ip string
	// service answers all other requests.
	service http.Handler
	ended   *ends
}

// ends are when instances ended.
type ends struct {
	mu sync.Mutex
	at []time.Time
}

func (e *ends) list() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time{}, e.at...)
}

func (m *mortal) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || !strings.Contains(string(raw), "deadly") {
		r.Body = io.NopCloser(bytes.NewReader(raw))
		m.service.ServeHTTP(rw, r)
		return
	}
	m.ended.mu.Lock()
	m.ended.at = append(m.ended.at, time.Now())
	m.ended.mu.Unlock()
	m.w.net.Kill(m.ip)
	time.AfterFunc(3*time.Second, func() { m.w.serve(m.ip, m) })
	panic(http.ErrAbortHandler)
}

// Guards against a booking that crashes every instance of its service: its caller sends it
// again at all entries, and all other families would be refused each time.
func TestDeadlyBooking(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, size{entries: 3, engines: 1, desks: 3})
		defer w.close()
		var ended ends
		for i, s := range w.services {
			w.net.Kill(serviceIP(i))
			w.serve(serviceIP(i), &mortal{w: w, ip: serviceIP(i), service: s, ended: &ended})
		}
		status := 0
		for n := range 30 {
			status, _ = w.do(http.MethodPost, w.url(n%3)+"/v1/services/"+deskService+"/bookings",
				map[string]string{"slot": "deadly", "family": "f"}, nil)
			time.Sleep(2 * time.Second)
		}
		at := ended.list()
		g.Expect(len(at)).To(BeNumerically(">=", 3))
		late := 0
		for _, end := range at[3:] {
			if end.Sub(at[2]) > 3*time.Second {
				late++
			}
		}
		g.Expect(late).To(BeNumerically("<=", 3))
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		status, _ = w.bookSlot("honest")
		g.Expect(status).To(Equal(http.StatusCreated))
	})
}

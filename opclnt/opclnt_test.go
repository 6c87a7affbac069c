package opclnt_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/opapi"
	"github.com/lavendermux/lavendermux/opclnt"
	"github.com/lavendermux/lavendermux/reply"
)

func TestOpclnt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "opclnt")
}

// scripted answers one request after the other and keeps their operations.
func scripted(answers ...http.HandlerFunc) (*opclnt.Client, *[]string) {
	var operations []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := len(operations)
		operations = append(operations, r.Header.Get(opapi.HeaderOperation))
		answers[min(n, len(answers)-1)](w, r)
	}))
	DeferCleanup(server.Close)
	return opclnt.New(server.URL, opclnt.WithPause(time.Millisecond)), &operations
}

func cut(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func fails(err error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { reply.Fail(w, err) }
}

func accepts(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, object.Object{Revision: 7})
}

var _ = Describe("Client", func() {
	refused := &fault.NotRunError{Cause: "keyValueDown"}

	// An entry dies while it makes an operator's change. The balancer sends the
	// next attempt to another entry, which must be able to tell that it is the
	// same change.
	It("asks again under the same operation", func(ctx SpecContext) {
		c, operations := scripted(cut, accepts)
		o, err := c.Put(ctx, object.Object{Kind: "pool", Name: "p"})
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Revision).To(Equal(int64(7)))
		Expect(*operations).To(HaveLen(2))
		Expect((*operations)[0]).To(Equal((*operations)[1]))
		Expect((*operations)[0]).NotTo(BeEmpty())
	})

	// The first attempt may have been made, and the second entry refuses since
	// the key-value service is down by then. "Not run" would be a lie.
	It("does not call a change not run after an attempt that may have run", func(ctx SpecContext) {
		c, operations := scripted(cut, fails(refused))
		_, err := c.Delete(ctx, "pool", "p", 3)
		var unknown *fault.UnknownOutcomeError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(*operations).To(HaveLen(4))
	})

	It("takes a first refusal at its word", func(ctx SpecContext) {
		c, operations := scripted(fails(refused))
		_, err := c.Put(ctx, object.Object{Kind: "pool", Name: "p"})
		var notRun *fault.NotRunError
		Expect(errors.As(err, &notRun)).To(BeTrue())
		Expect(*operations).To(HaveLen(1))
	})
})

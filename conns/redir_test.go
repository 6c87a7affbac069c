package conns

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// A client must not follow a redirect to an address that its caller didn't choose, with a GET in
// place of the request.
func TestNewClientFollowsNoRedirects(t *testing.T) {
	g := NewWithT(t)
	requests := 0
	c := NewClient(roundTripper(func(r *http.Request) (*http.Response, error) {
		requests++
		return &http.Response{StatusCode: http.StatusFound, Header: http.Header{"Location": {"http://other/"}}, Body: http.NoBody, Request: r}, nil
	}))
	resp, err := c.Post("http://host/", "", strings.NewReader("order"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusFound))
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(requests).To(Equal(1))
}

type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

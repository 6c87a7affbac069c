package conns

import "net/http"

// NewClient returns a client that uses tr and follows no redirects.
func NewClient(tr http.RoundTripper) *http.Client {
	return WithoutRedirects(&http.Client{Transport: tr})
}

// WithoutRedirects returns a copy of a client that returns redirects instead of following them. By
// itself it would send the request, or a GET in its place, to an address that the caller didn't
// choose, and return the response to that.
func WithoutRedirects(c *http.Client) *http.Client {
	out := *c
	out.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &out
}

package warden

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/views"
)

type held map[finger.Print]int

func (h held) Clear(p finger.Print) int {
	n := h[p]
	delete(h, p)
	return n
}

// Guards against an operator who mistypes a fingerprint and believes the request cleared.
func TestClear(t *testing.T) {
	g := NewWithT(t)
	p := finger.Of("", "h", "/p", nil)
	router := mux.NewRouter()
	New(held{p: 3}).Register(router)
	ask := func(text string) (int, string) {
		rec := httptest.NewRecorder()
		router.ServeHTTP(rec, httptest.NewRequest(http.MethodDelete, views.HeldPath+text, nil))
		return rec.Code, rec.Body.String()
	}
	status, body := ask(p.String())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(MatchJSON(`{"strikes":3}`))
	_, body = ask(p.String())
	g.Expect(body).To(MatchJSON(`{"strikes":0}`))
	status, body = ask("5f0c")
	g.Expect(status).To(Equal(http.StatusBadRequest))
	g.Expect(body).To(ContainSubstring("5f0c"))
}

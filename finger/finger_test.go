package finger

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

// A caller who moves bytes from one field to the next must not get the print of another
// caller's request.
func TestFieldsDoNotRunTogether(t *testing.T) {
	g := NewWithT(t)
	prints := map[Print]bool{
		Of("a", "h", "/p", []byte("x")):  true,
		Of("", "ah", "/p", []byte("x")):  true,
		Of("a", "h/", "p", []byte("x")):  true,
		Of("a", "h", "/px", nil):         true,
		Of("a", "h", "/", []byte("px")):  true,
		Of("b", "h", "/p", []byte("x")):  true,
		Of("a", "h", "/p?", []byte("x")): true,
	}
	g.Expect(prints).To(HaveLen(7))
	g.Expect(Of("a", "h", "/p", []byte("x"))).To(Equal(Of("a", "h", "/p", []byte("x"))))
}

func TestText(t *testing.T) {
	g := NewWithT(t)
	p := Of("a", "h", "/p", nil)
	raw, err := json.Marshal(map[Print]Print{p: p})
	g.Expect(err).NotTo(HaveOccurred())
	var back map[Print]Print
	g.Expect(json.Unmarshal(raw, &back)).To(Succeed())
	g.Expect(back).To(HaveKeyWithValue(p, p))
	for _, bad := range []string{"", "00", p.String() + "00", "zz" + p.String()[2:]} {
		var q Print
		var wrong *TextError
		g.Expect(q.UnmarshalText([]byte(bad))).To(BeAssignableToTypeOf(wrong))
	}
}

package ecfg_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/bytesz"
	"github.com/lavendermux/lavendermux/ecfg"
)

const requiredFields = `"instance":"entry-1","dataCentre":"tln-a","region":"ee-north","listen":"127.0.0.1:8080",
	"peerListen":"127.0.0.1:8081","keyValue":"http://127.0.0.1:1","instanceList":"http://127.0.0.1:2","weightStore":"http://127.0.0.1:3"`

func TestEcfg(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ecfg")
}

var _ = Describe("Settings", func() {
	It("has defaults", func() {
		s, err := ecfg.Parse([]byte("{" + requiredFields + "}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.MaxBody).To(Equal(bytesz.MB))
		Expect(s.ShutdownTimeout.String()).To(Equal("30s"))
	})

	DescribeTable("reports the invalid field",
		func(extra, want string) {
			_, err := ecfg.Parse([]byte(fmt.Sprintf("{%s,%s}", requiredFields, extra)))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry(nil, `"dataCenter":"x"`, `dataCenter: is no field here; did you mean "dataCentre"?`),
		Entry(nil, `"stopWithin":30`, "stopWithin: is the number 30"),
		Entry(nil, `"maxBody":"0B"`, "maxBody: is not above zero"),
		Entry(nil, `"memory":"64MB"`, "memory: is below 112MB"),
		Entry(nil, `"logLevel":"loud"`, "logLevel: is debug, info, warn or error"),
		Entry(nil, `"tls":{"certificate":"c.pem"}`, "tls.key: is missing"),
	)

	It("reports all missing fields", func() {
		_, err := ecfg.Parse([]byte(`{"listen":"localhost:80","peerListen":"127.0.0.1:99999"}`))
		for _, field := range []string{"instance", "dataCentre", "region", "listen", "peerListen", "keyValue", "instanceList", "weightStore"} {
			Expect(err).To(MatchError(ContainSubstring(field + ": is")))
		}
	})
})

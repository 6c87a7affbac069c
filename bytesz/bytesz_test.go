package bytesz_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/bytesz"
)

func TestBytesz(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bytesz")
}

var _ = DescribeTable("Size",
	func(text string, want bytesz.Size, ok bool) {
		got, err := bytesz.Parse(text)
		Expect(err == nil).To(Equal(ok))
		Expect(got).To(Equal(want))
		again, err := bytesz.Parse(got.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(got))
	},
	Entry(nil, "0B", bytesz.Size(0), true),
	Entry(nil, "512B", 512*bytesz.Byte, true),
	Entry(nil, "1500KB", 1500*bytesz.KB, true),
	Entry(nil, "2GB", 2*bytesz.GB, true),
	Entry(nil, "64", bytesz.Size(0), false),
	Entry(nil, "-1B", bytesz.Size(0), false),
	Entry(nil, "1.5MB", bytesz.Size(0), false),
	Entry(nil, "10000000000GB", bytesz.Size(0), false),
)

package upstr

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// IsBroken reports whether err says that the peer's end of the connection closed or reset
// before the answer was whole, as when its process ends. A timeout isn't one: it is the
// path or the machine that is silent then.
func IsBroken(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

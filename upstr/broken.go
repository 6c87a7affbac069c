package upstr

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// IsDisconnect reports whether err means that the remote end closed or reset the connection
// before the response was complete, as happens when its process exits. A timeout doesn't
// count: it points to the network path or the machine.
func IsDisconnect(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Package netad validates network addresses in settings and resources.
package netad

import (
	"net"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/lavendermux/lavendermux/fault"
)

const portBits = 16

// CheckListen returns a *fault.FieldError unless s is an IP address and a port.
// Host names are rejected: a DNS lookup can hang, and so would a process that
// starts during an outage.
//
//	err := netad.CheckListen("10.0.0.7:8080")
func CheckListen(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err == nil {
		_, err = netip.ParseAddr(host)
	}
	if err == nil {
		_, err = strconv.ParseUint(port, 10, portBits)
	}
	if err != nil {
		return &fault.FieldError{Problem: `is no IP number and port; write one such as "10.0.0.7:8080"`}
	}
	return nil
}

// CheckURL returns a *fault.FieldError unless s is an HTTP URL with a host.
//
//	err := netad.CheckURL("http://10.0.0.7:7000")
func CheckURL(s string) error {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return &fault.FieldError{Problem: `is no URL; write one such as "http://10.0.0.7:7000"`}
	}
	return nil
}

package crowds

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"testing"

	"github.com/lavendermux/lavendermux/platform/sims/simcli"
)

// peerCall is a call to an instance from a peer, whose body doesn't end.
func peerCall(path string, size, missing int) simcli.Client {
	return simcli.Client{Method: http.MethodPost, Host: "peer", Path: path, Header: map[string]string{"Content-Type": "application/json"},
		Framing: simcli.WithLength, BodyBytes: size, BodyMissing: missing}
}

// compressed returns a call whose body is small, and is n bytes long once it is decompressed.
func compressed(t *testing.T, path string, n int) simcli.Client {
	t.Helper()
	var b bytes.Buffer
	zw := gzip.NewWriter(&b)
	if _, err := zw.Write(make([]byte, n)); err != nil {
		t.Fatal(err)
	}
	if err := zw.Close(); err != nil {
		t.Fatal(err)
	}
	c := peerCall(path, b.Len(), 0)
	c.Header["Content-Encoding"], c.Body = "gzip", b.Bytes()
	return c
}

const (
	probePath  = "/lavendermux.Mesh/Touch"
	intakePath = "/lavendermux.Intake/Submit"
	copiesPath = "/lavendermux.Copies/Change"
	steerPath  = "/lavendermux.Steer/Steer"
)

// An entry withstands heads of many fields at the address for its peers.
func TestEntryPeerAddressHeads(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.ip(4)+":"+peerPort, simcli.Repeat(300, fieldsShortOfEnd()))
}

// An entry withstands bodies that don't end at the address for its peers.
func TestEntryPeerAddressBodies(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.ip(4)+":"+peerPort, simcli.Repeat(16, peerCall(intakePath, bodyLimit/2, 1)))
}

// An entry withstands bodies at the address for its peers that are small until they are decompressed.
func TestEntryPeerAddressCompressedBodies(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.ip(4)+":"+peerPort, simcli.Repeat(8, compressed(t, probePath, 128<<20)))
}

// An entry has descriptors left while clients hold connections to all of its addresses.
func TestEntryPeerAddressConnections(t *testing.T) {
	s := newSite(t, bodyLimit)
	silent := simcli.Repeat(400, simcli.Client{Silent: true})
	front := simcli.Open(t.Context(), s.clientAddr(), silent)
	defer front.Close()
	s.withstand(t, s.entry, s.ip(4)+":"+peerPort, silent)
}

// A data instance withstands heads of many fields at the address for its peers.
func TestDataPeerAddressHeads(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.data, s.ip(5)+":"+peerPort, simcli.Repeat(300, fieldsShortOfEnd()))
}

// A data instance withstands bodies that don't end.
func TestDataPeerAddressBodies(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.data, s.ip(5)+":"+peerPort, simcli.Repeat(16, peerCall(copiesPath, bodyLimit/2, 1)))
}

// A data instance withstands bodies that are small until they are decompressed.
func TestDataPeerAddressCompressedBodies(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.data, s.ip(5)+":"+peerPort, simcli.Repeat(8, compressed(t, probePath, 128<<20)))
}

// A data instance withstands connections on which nothing is sent.
func TestDataPeerAddressConnections(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.data, s.ip(5)+":"+peerPort, simcli.Repeat(800, simcli.Client{Silent: true}))
}

// A data instance withstands heads of many fields at the address of its metrics.
func TestDataMetricsAddressHeads(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.data, s.ip(5)+":"+metricsPort, simcli.Repeat(300, fieldsShortOfEnd()))
}

// A sidecar withstands heads of many fields at the address for its peers.
func TestSidePeerAddressHeads(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.side, s.ip(3)+":"+peerPort, simcli.Repeat(300, fieldsShortOfEnd()))
}

// A sidecar withstands bodies that don't end.
func TestSidePeerAddressBodies(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.side, s.ip(3)+":"+peerPort, simcli.Repeat(16, peerCall(steerPath, bodyLimit/2, 1)))
}

// A sidecar withstands connections on which nothing is sent.
func TestSidePeerAddressConnections(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.side, s.ip(3)+":"+peerPort, simcli.Repeat(800, simcli.Client{Silent: true}))
}

// A sidecar withstands heads of many fields at the address of its metrics.
func TestSideMetricsAddressHeads(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.side, s.ip(3)+":"+metricsPort, simcli.Repeat(300, fieldsShortOfEnd()))
}

package crowds

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
	"github.com/lavendermux/lavendermux/platform/sims/simcli"
)

// plainRequest is a legal request for a service.
func plainRequest() simcli.Client {
	return simcli.Client{Method: http.MethodPost, Host: simcfg.PlainHost, Path: simcfg.IdempotentPath + "x", Header: map[string]string{simcfg.HeaderID: "crowd"}}
}

// fieldsShortOfEnd is a head of many short fields, longer than the limit, that doesn't end.
func fieldsShortOfEnd() simcli.Client {
	c := plainRequest()
	c.HeadBytes, c.HeadMissing = 60<<10, true
	return c
}

// bodyShortOfEnd is a legal body that doesn't end.
func bodyShortOfEnd(size, missing int) simcli.Client {
	c := plainRequest()
	c.Framing, c.BodyBytes, c.BodyMissing = simcli.WithLength, size, missing
	return c
}

// An entry keeps heads over the limit within its memory: fields take many times their length.
func TestEntryHeadsOfManyFields(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(300, fieldsShortOfEnd()))
}

// An entry keeps legal heads of many fields, whose bodies don't end, within its memory: the fields stay
// while the body is read.
func TestEntryLegalHeadsBeforeBodiesWithoutEnd(t *testing.T) {
	s := newSite(t, bodyLimit)
	c := bodyShortOfEnd(2, 1)
	c.HeadBytes = headLimit - 64
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(460, c))
}

// An entry refuses heads without end.
func TestEntryHeadsWithoutEnd(t *testing.T) {
	s := newSite(t, bodyLimit)
	c := plainRequest()
	c.HeadBytes, c.FieldBytes = -1, 100
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(200, c))
}

// An entry refuses empty lines without end before a request.
func TestEntryEmptyLinesWithoutEnd(t *testing.T) {
	s := newSite(t, bodyLimit)
	c := plainRequest()
	c.EmptyLines = -1
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(200, c))
}

// An entry keeps bodies within its memory that stop just short of their end, so that none makes room for
// another.
func TestEntryBodiesShortOfTheirEnd(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(8, bodyShortOfEnd(bodyLimit, 64<<10)))
}

// An entry keeps many smaller bodies that stop just short of their end within its memory.
func TestEntrySmallerBodiesShortOfTheirEnd(t *testing.T) {
	s := newSite(t, 1<<20)
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(150, bodyShortOfEnd(1<<20, 64)))
}

// An entry keeps bodies within its memory that arrive piece by piece and stop short of their end.
func TestEntryBodiesInPieces(t *testing.T) {
	s := newSite(t, bodyLimit)
	c := bodyShortOfEnd(bodyLimit/4, 1)
	c.PieceBytes = 1000
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(30, c))
}

// An entry keeps whole bodies of legal size within its memory that come at once.
func TestEntryWholeBodies(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(8, bodyShortOfEnd(bodyLimit, 0)))
}

// An entry keeps bodies of one large chunk within its memory that doesn't end.
func TestEntryLargeChunksShortOfTheirEnd(t *testing.T) {
	s := newSite(t, bodyLimit)
	c := bodyShortOfEnd(bodyLimit, 64<<10)
	c.Framing, c.ChunkBytes = simcli.Chunked, bodyLimit
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(8, c))
}

// An entry keeps bodies of many very small chunks within its memory that don't end.
func TestEntrySmallChunksShortOfTheirEnd(t *testing.T) {
	s := newSite(t, 1<<20)
	c := bodyShortOfEnd(1<<20, 64)
	c.Framing, c.ChunkBytes = simcli.Chunked, 2
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(150, c))
}

// An entry keeps submissions within its memory that don't end.
func TestEntrySubmissionsShortOfTheirEnd(t *testing.T) {
	s := newSite(t, bodyLimit)
	body := submission("crowd", bodyLimit/4)
	c := simcli.Client{Method: http.MethodPost, Host: simcfg.BatchHost, Path: simcfg.SubmitPath, Header: map[string]string{simcfg.HeaderID: "crowd"},
		Framing: simcli.WithLength, Body: body, BodyBytes: len(body), BodyMissing: 2}
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(30, c))
}

// An entry keeps whole submissions of legal size within its memory, which it decodes and stores.
func TestEntryWholeSubmissions(t *testing.T) {
	s := newSite(t, bodyLimit)
	body := submission("crowd", bodyLimit/4)
	c := simcli.Client{Method: http.MethodPost, Host: simcfg.BatchHost, Path: simcfg.SubmitPath, Header: map[string]string{simcfg.HeaderID: "crowd"},
		Framing: simcli.WithLength, Body: body, BodyBytes: len(body)}
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(16, c))
}

// An entry has descriptors left for its own connections and for ordinary callers while others send
// nothing.
func TestEntryConnectionsWithoutAByte(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(800, simcli.Client{Silent: true}))
}

// An entry withstands the heads of many fields at the address of its readiness checks.
func TestEntryReadyAddressHeads(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.ip(4)+":"+readyPort, simcli.Repeat(300, fieldsShortOfEnd()))
}

// An entry withstands the heads of many fields at the address of its metrics.
func TestEntryMetricsAddressHeads(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.ip(4)+":"+metricsPort, simcli.Repeat(300, fieldsShortOfEnd()))
}

// An entry withstands random crowds.
func TestEntryRandomCrowd(t *testing.T) {
	s := newSite(t, bodyLimit/4)
	rng := rand.New(rand.NewPCG(1, 68))
	var clients []simcli.Client
	for range 400 {
		clients = append(clients, simcli.Draw(rng, http.MethodPost, simcfg.PlainHost, simcfg.IdempotentPath+"x", headLimit, bodyLimit/4))
	}
	s.withstand(t, s.entry, s.clientAddr(), clients)
}

// An entry serves one legal body of the largest size in calm, within its memory.
func TestEntryOneLargestBody(t *testing.T) {
	s, g := newSite(t, bodyLimit), NewWithT(t)
	for _, body := range []io.Reader{bytes.NewReader(make([]byte, bodyLimit)), io.LimitReader(bytes.NewReader(make([]byte, bodyLimit)), bodyLimit)} {
		status, err := s.call(t.Context(), "largest", simcfg.PlainHost, simcfg.IdempotentPath+"x", body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
	}
	t.Logf("peak %d MB", s.entry.peakMemory(t)>>20)
	g.Expect(s.entry.peakMemory(t)).To(BeNumerically("<=", memoryMb<<20))
}

// An entry accepts one submission of a few megabytes in calm, within its memory.
func TestEntryOneLargeSubmission(t *testing.T) {
	s, g := newSite(t, bodyLimit), NewWithT(t)
	status, err := s.call(t.Context(), "largest", simcfg.BatchHost, simcfg.SubmitPath, bytes.NewReader(submission("largest", bodyLimit/4)))
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("status %d, peak %d MB", status, s.entry.peakMemory(t)>>20)
	g.Expect(status).To(Equal(http.StatusAccepted))
	g.Expect(s.entry.peakMemory(t)).To(BeNumerically("<=", memoryMb<<20))
}

// An entry has descriptors left while clients keep connections open on which they were answered, and
// don't read the answers.
func TestEntryAnswersNotRead(t *testing.T) {
	s := newSite(t, bodyLimit)
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(800, bodyShortOfEnd(1, 0)))
}

// An entry keeps requests within its memory that are sent before the ones ahead of them are answered.
func TestEntryRequestsInAdvance(t *testing.T) {
	s := newSite(t, bodyLimit)
	c := plainRequest()
	c.Preface = strings.Repeat("GET /desk/x HTTP/1.1\r\nHost: "+simcfg.PlainHost+"\r\n"+simcfg.HeaderID+": crowd\r\n\r\n", 2000)
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(100, c))
}

// An entry closes what belongs to connections that are opened and reset in a row.
func TestEntryConnectionsInSeries(t *testing.T) {
	s := newSite(t, bodyLimit)
	for range 20 {
		simcli.Open(t.Context(), s.clientAddr(), simcli.Repeat(200, bodyShortOfEnd(1000, 1))).Close()
	}
	s.withstand(t, s.entry, s.clientAddr(), nil)
}

// An entry accepts one submission in calm, within its memory, that is about as large as the store takes.
func TestEntryOneLargestSubmission(t *testing.T) {
	s, g := newSite(t, bodyLimit), NewWithT(t)
	status, err := s.call(t.Context(), "largest", simcfg.BatchHost, simcfg.SubmitPath, bytes.NewReader(submission("largest", bodyLimit*3/4)))
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("status %d, peak %d MB", status, s.entry.peakMemory(t)>>20)
	g.Expect(status).To(Equal(http.StatusAccepted))
	g.Expect(s.entry.peakMemory(t)).To(BeNumerically("<=", memoryMb<<20))
}

// An entry that is told to stop ends while clients keep requests open that don't end.
func TestEntryStopsBesideACrowd(t *testing.T) {
	s, g := newSite(t, bodyLimit), NewWithT(t)
	bodies := simcli.Open(t.Context(), s.clientAddr(), simcli.Repeat(20, bodyShortOfEnd(1000, 1)))
	defer bodies.Close()
	heads := simcli.Open(t.Context(), s.clientAddr(), simcli.Repeat(20, fieldsShortOfEnd()))
	defer heads.Close()
	g.Expect(s.entry.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(s.entry.done, waitTimeout).Should(BeClosed())
	g.Expect(s.entry.cmd.ProcessState.ExitCode()).To(BeZero())
}

// An entry keeps a submission of many items of the least size within its memory: an item takes many times
// its length.
func TestEntrySubmissionsOfSmallItems(t *testing.T) {
	s := newSite(t, bodyLimit)
	var body bytes.Buffer
	body.WriteString(`{"items":[`)
	for n := 0; body.Len() < bodyLimit/4; n++ {
		fmt.Fprintf(&body, `{"id":"%x","path":"/"},`, n)
	}
	body.WriteString(`{"id":"last","path":"/"}]}`)
	c := simcli.Client{Method: http.MethodPost, Host: simcfg.BatchHost, Path: simcfg.SubmitPath, Header: map[string]string{simcfg.HeaderID: "crowd"},
		Framing: simcli.WithLength, Body: body.Bytes(), BodyBytes: body.Len()}
	s.withstand(t, s.entry, s.clientAddr(), simcli.Repeat(2, c))
}

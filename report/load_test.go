package report

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

// newFields are the fields that lines of earlier versions lack.
var newFields = regexp.MustCompile(` (customer|dataCentre|objective|wait|internal|events)=\S*|(Item run.*) model=\S+`)

// The log has requests of 13 customers, of which one is refused and others are late, a request
// that two endpoints were asked, scoring calls, runs with each outcome, a submission that was
// repeated, and lines of a collector, of another program and of two processes mixed. A wrong
// count or order would lead an operator to the wrong customer or endpoint.
func TestLoadTable(t *testing.T) {
	goldie.New(t).Assert(t, "load", []byte(tableOf(t, sampleLog(t))))
}

// Logs of earlier versions must still give each table whose fields they have.
func TestLoadTableOfEarlierVersions(t *testing.T) {
	log := newFields.ReplaceAllString(sampleLog(t), "$2")
	NewWithT(t).Expect(log).NotTo(ContainSubstring("customer="))
	goldie.New(t).Assert(t, "load-earlier", []byte(tableOf(t, log)))
}

// The report must not depend on the order in which logs are read: an item run may be read
// before the line that tells its model.
func TestLoadOrderOfLogs(t *testing.T) {
	log := sampleLog(t)
	lines := strings.Split(strings.TrimSpace(log), "\n")
	l := NewLoad()
	for i := len(lines) - 1; i >= 0; i-- {
		NewWithT(t).Expect(l.Read(strings.NewReader(lines[i]))).To(Succeed())
	}
	NewWithT(t).Expect(l.Table()).To(Equal(tableOf(t, log)))
}

// A fleet has hundreds of endpoints. The table must stay readable, name the worst ones and
// lose no request.
func TestLoadOfManyEndpoints(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	for i := range 300 {
		endpoint, outcome := "e-"+strings.Repeat("x", i), "completed"
		if i == 200 {
			endpoint, outcome = "bad", "broken"
		}
		log.WriteString("time=2026-01-02T03:04:05Z msg=\"Item run.\" endpoint=" + endpoint + " model=m outcome=" + outcome + " took=1s\n")
	}
	_, endpoints, _ := strings.Cut(tableOf(t, log.String()), "Item runs by endpoint\n")
	rows := strings.Split(strings.TrimSpace(endpoints), "\n")
	g.Expect(rows).To(HaveLen(1 + maxLoadRows + 1))
	g.Expect(rows[1]).To(HavePrefix("bad"))
	g.Expect(rows[len(rows)-1]).To(MatchRegexp(`^\(250 others\) +250 `))
}

func sampleLog(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("testdata/load.log")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func tableOf(t *testing.T, log string) string {
	t.Helper()
	l := NewLoad()
	if err := l.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	return l.Table()
}

package bstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
)

// A submission that is written item by item has the text that it has as a whole: what an earlier release
// stored is read, and the other way round.
func TestSubmissionIsWrittenAsAWhole(t *testing.T) {
	g := NewWithT(t)
	sub := &batch.Submission{ID: "a<b", Host: "h", Target: "/t", Model: "m", MinVersion: 2, Step: 3, RequiredGroups: 4}
	for _, items := range [][]batch.Item{nil, {}, {{ID: "one"}}} {
		sub.Items = items
		expectSameText(g, sub)
	}
	for n := range 100 {
		sub.Items = append(sub.Items, batch.Item{ID: fmt.Sprint(n), Target: "/x", Headers: map[string]string{"A": "1", "B": "<&>"},
			Body: bytes.Repeat([]byte{byte(n)}, n), Scoring: &batch.Scoring{ID: "s", Body: []byte("y")}})
	}
	expectSameText(g, sub)
}

func expectSameText(g *WithT, sub *batch.Submission) {
	want, err := json.Marshal(sub)
	g.Expect(err).NotTo(HaveOccurred())
	for _, size := range []int{1, 7, len(want) - 1, len(want), len(want) + 1} {
		w := partWriter{size: size}
		g.Expect(writeSubmission(&w, sub)).To(Succeed())
		g.Expect(string(bytes.Join(w.parts, nil))).To(Equal(string(want)))
		g.Expect(w.written).To(Equal(len(want)))
		for _, part := range w.parts[:len(w.parts)-1] {
			g.Expect(part).To(HaveLen(size))
		}
	}
}

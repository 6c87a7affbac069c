package simtrn

import (
	"fmt"
	"strconv"

	"github.com/lavendermux/lavendermux/sims/simtxt"
)

type (
	groupMessage struct {
		ID             string `json:"id"`
		Step           int    `json:"step"`
		Prompt         string `json:"prompt"`
		Samples        int    `json:"samples"`
		MaxTokens      int64  `json:"maxTokens"`
		ExpectedTokens int64  `json:"expectedTokens"`
	}

	groupsRequest struct {
		Groups []groupMessage `json:"groups"`
	}

	versionMessage struct {
		Version string `json:"version"`
	}

	weightsMessage struct {
		Bytes int64 `json:"bytes"`
	}

	positionResponse struct {
		Cursor string `json:"cursor"`
	}

	pullRequest struct {
		Cursor string `json:"cursor"`
		Max    int    `json:"max"`
		WaitMs int64  `json:"waitMs"`
		// Published is the latest version that the trainer has published.
		Published string `json:"published"`
	}

	pullResponse struct {
		Offer     int64           `json:"offer"`
		Cursor    string          `json:"cursor"`
		Published string          `json:"published"`
		Open      int64           `json:"open"`
		Samples   []sampleMessage `json:"samples"`
		// Missing lists the IDs of groups whose prompts the service has lost.
		Missing []string `json:"missing"`
	}

	sampleMessage struct {
		ID       string           `json:"id"`
		Group    string           `json:"group"`
		Index    int              `json:"index"`
		Step     int              `json:"step"`
		Text     string           `json:"text"`
		Tokens   int64            `json:"tokens"`
		Segments []segmentMessage `json:"segments"`
		Score    float64          `json:"score"`
	}

	segmentMessage struct {
		Version string `json:"version"`
		Tokens  int64  `json:"tokens"`
	}
)

// receive verifies a sample and counts it toward its step.
func (t *Trainer) receive(s sampleMessage) {
	g, known := t.groups[s.Group]
	if !known || s.Index < 0 || s.Index >= g.Samples || s.Step != g.Step || s.ID != g.sampleID(s.Index) {
		t.recordProblem(&t.sum.Unknown, s, fmt.Errorf("was never requested"))
		return
	}
	if t.received[s.ID] {
		t.recordProblem(&t.sum.Duplicates, s, fmt.Errorf("was already delivered"))
		return
	}
	t.received[s.ID] = true
	t.missing[g.Step]--
	t.sum.Samples++
	t.sum.Tokens += s.Tokens
	t.checkText(s, g)
	t.checkStaleness(s)
	if t.config.score != nil && s.Score != t.config.score(g.Prompt, s.Text) {
		t.recordProblem(&t.sum.Misscored, s, fmt.Errorf("has score %v, which does not match its text", s.Score))
	}
}

func (g groupMessage) sampleID(index int) string {
	return fmt.Sprintf("%s/%d", g.ID, index)
}

// checkText compares the versions that a sample's segments report, token by token,
// with those encoded in its text.
func (t *Trainer) checkText(s sampleMessage, g groupMessage) {
	textVersions, err := simtxt.Text{Model: t.config.model, Prompt: g.Prompt}.Versions(s.Text)
	if err != nil {
		t.recordProblem(&t.sum.Mismatched, s, err)
		return
	}
	var versions []string
	for _, seg := range s.Segments {
		for range min(seg.Tokens, g.MaxTokens) {
			versions = append(versions, seg.Version)
		}
	}
	if len(textVersions) != len(versions) || int64(len(textVersions)) != s.Tokens {
		t.recordProblem(&t.sum.Mismatched, s, fmt.Errorf("has %d words, but reports %d tokens and %d in segments",
			len(textVersions), s.Tokens, len(versions)))
		return
	}
	for i, v := range textVersions {
		if v != versions[i] || v == "" {
			t.recordProblem(&t.sum.Mismatched, s, fmt.Errorf("token %d has version %q, but is attributed to %q", i, v, versions[i]))
			return
		}
	}
}

// checkStaleness checks the staleness of the oldest version in the sample.
func (t *Trainer) checkStaleness(s sampleMessage) {
	worst := int64(0)
	for _, seg := range s.Segments {
		v, err := strconv.ParseInt(seg.Version, 10, 64)
		if err != nil {
			// checkText has reported this already: no engine generates such a version.
			return
		}
		worst = max(worst, t.published-v)
	}
	t.staleness.Add(float64(worst))
	if worst > t.config.maxStaleness {
		t.recordProblem(&t.sum.Stale, s, fmt.Errorf("is %d versions old, the bound is %d", worst, t.config.maxStaleness))
	}
}

func (t *Trainer) recordProblem(count *int64, s sampleMessage, problem error) {
	*count++
	if len(t.sum.Problems) < maxProblems {
		t.sum.Problems = append(t.sum.Problems, "sample "+s.ID+" "+problem.Error())
	}
}

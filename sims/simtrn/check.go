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

	positionMessage struct {
		Cursor string `json:"cursor"`
	}

	pullRequest struct {
		Cursor string `json:"cursor"`
		Max    int    `json:"max"`
		WaitMs int64  `json:"waitMs"`
		// Published is the newest version that this trainer has published.
		Published string `json:"published"`
	}

	pullResponse struct {
		Offer     int64           `json:"offer"`
		Cursor    string          `json:"cursor"`
		Published string          `json:"published"`
		Open      int64           `json:"open"`
		Samples   []sampleMessage `json:"samples"`
		// Missing names groups whose prompts the service has lost.
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

// take checks a sample and counts it towards its step.
func (t *Trainer) take(s sampleMessage) {
	g, known := t.groups[s.Group]
	if !known || s.Index < 0 || s.Index >= g.Samples || s.Step != g.Step || s.ID != g.sampleID(s.Index) {
		t.note(&t.sum.Unknown, s, fmt.Errorf("was never asked for"))
		return
	}
	if t.seen[s.ID] {
		t.note(&t.sum.Duplicates, s, fmt.Errorf("was delivered before"))
		return
	}
	t.seen[s.ID] = true
	t.missing[g.Step]--
	t.sum.Samples++
	t.sum.Tokens += s.Tokens
	t.checkText(s, g)
	t.checkStaleness(s)
	if t.config.score != nil && s.Score != t.config.score(g.Prompt, s.Text) {
		t.note(&t.sum.Misscored, s, fmt.Errorf("has the score %v of another text", s.Score))
	}
}

func (g groupMessage) sampleID(index int) string {
	return fmt.Sprintf("%s/%d", g.ID, index)
}

// checkText compares the versions that a sample names, token by token, with
// those that its text shows.
func (t *Trainer) checkText(s sampleMessage, g groupMessage) {
	made, err := simtxt.Text{Model: t.config.model, Prompt: g.Prompt}.Versions(s.Text)
	if err != nil {
		t.note(&t.sum.Mismatched, s, err)
		return
	}
	var named []string
	for _, seg := range s.Segments {
		for range min(seg.Tokens, g.MaxTokens) {
			named = append(named, seg.Version)
		}
	}
	if len(made) != len(named) || int64(len(made)) != s.Tokens {
		t.note(&t.sum.Mismatched, s, fmt.Errorf("has %d words, names %d tokens and %d in segments",
			len(made), s.Tokens, len(named)))
		return
	}
	for i, v := range made {
		if v != named[i] || v == "" {
			t.note(&t.sum.Mismatched, s, fmt.Errorf("token %d is of version %q, named is %q", i, v, named[i]))
			return
		}
	}
}

// checkStaleness counts from the oldest version in the sample.
func (t *Trainer) checkStaleness(s sampleMessage) {
	worst := int64(0)
	for _, seg := range s.Segments {
		v, err := strconv.ParseInt(seg.Version, 10, 64)
		if err != nil {
			// checkText has told this already: no engine makes such a version.
			return
		}
		worst = max(worst, t.published-v)
	}
	t.staleness.Add(float64(worst))
	if worst > t.config.bound {
		t.note(&t.sum.Stale, s, fmt.Errorf("is %d versions old, the bound is %d", worst, t.config.bound))
	}
}

func (t *Trainer) note(count *int64, s sampleMessage, problem error) {
	*count++
	if len(t.sum.Problems) < maxProblems {
		t.sum.Problems = append(t.sum.Problems, "sample "+s.ID+" "+problem.Error())
	}
}

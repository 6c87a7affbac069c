// Package batch defines batch submissions, their items and results in the form in
// which the metadata store holds them.
package batch

const (
	// itemBytes and headerBytes are the memory of an item, with what is kept of it while it runs, and of
	// one of its headers, besides their texts.
	itemBytes   = 1 << 10
	headerBytes = 64

	// Completed marks an item with complete text, and with its score if one was requested.
	Completed State = "completed"
	// Errored marks an item that was given up.
	Errored State = "errored"
)

type (
	// State is the final state of an item.
	State string

	// Submission is a batch of requests that a trainer submits at once.
	Submission struct {
		ID string `json:"id"`
		// Customer submitted the batch; "" where customers have no keys. It is stored in
		// the head record instead.
		Customer string `json:"-"`
		// Host and Target select the route, which is looked up for each send.
		Host   string `json:"host"`
		Target string `json:"target"`
		// Model and MinVersion, the oldest weight version allowed, restrict the weights that
		// may generate tokens.
		Model      string `json:"model"`
		MinVersion int64  `json:"minVersion"`
		Step       int    `json:"step"`
		// RequiredGroups is the number of complete groups that the trainer waits for.
		RequiredGroups int    `json:"desired"`
		Items          []Item `json:"items"`
	}

	// Item is one request of a batch.
	Item struct {
		ID      string            `json:"id"`
		Target  string            `json:"target"`
		Headers map[string]string `json:"headers,omitempty"`
		Body    []byte            `json:"body,omitempty"`
		// MaxTokens is the maximum number of tokens of the item, and MaxOutputTokens that of its
		// output; 0 if unknown. ExpectedTokens is the expected number of
		// output tokens, accurate only at the median; 0 if there is no estimate.
		MaxTokens       int    `json:"tokens,omitempty"`
		MaxOutputTokens int    `json:"output,omitempty"`
		ExpectedTokens  int    `json:"hint,omitempty"`
		Group           string `json:"group,omitempty"`
		// Scoring is the call that scores the complete text; nil if only the text is
		// requested.
		Scoring *Scoring `json:"scoring,omitempty"`
	}

	// Scoring is a request to a plain service that scores an item. It is sent only after
	// the text is complete, and may be repeated.
	Scoring struct {
		ID string `json:"id"`
		// Host and Target select the route, which is looked up for each send.
		Host   string `json:"host"`
		Target string `json:"target"`
		Body   []byte `json:"body,omitempty"`
	}

	// Result is a finished item. Once it has been read, neither its position in the list
	// of results nor its content changes.
	Result struct {
		ID    string `json:"id"`
		State State  `json:"state"`
		Text  string `json:"text"`
		// Versions are the weight versions that generated the text, ascending.
		Versions []int64 `json:"versions,omitempty"`
		// Score is the receipt of the scoring service. It is always set for a completed item
		// with a scoring call.
		Score string `json:"score,omitempty"`
	}

	// Progress is partial text of an unfinished item.
	Progress struct {
		ID string `json:"id"`
		// Offset is the number of events before Texts; 0 discards any earlier text.
		Offset int      `json:"from"`
		Texts  []string `json:"texts"`
		// LastEvent is the id of the last event of Texts. Versions are the weight versions of all
		// text so far.
		LastEvent int64   `json:"last"`
		Versions  []int64 `json:"versions,omitempty"`
		// Complete reports whether the text is complete and only the score is missing.
		Complete bool `json:"whole,omitempty"`
	}

	// Replica is a replica that holds results while the metadata store is unavailable.
	Replica struct {
		Instance string `json:"instance"`
		// Disk is the id of the disk. An instance whose disk was replaced no longer has the
		// results.
		Disk string `json:"disk"`
	}

	// Head is the record whose revision fences all writes of a batch.
	Head struct {
		// Owner is the owner, the instance that runs the items. Epoch, the fencing token,
		// grows with each change of owner.
		Owner string `json:"holder"`
		Epoch int64  `json:"epoch"`
		// Customer submitted the batch, with any of its keys. No other customer may read or
		// end it. Its items run on behalf of this customer even after the key or the customer
		// is removed. "" where customers have no keys.
		Customer string `json:"customer,omitempty"`
		// Writes counts the writes of this epoch. Together with Epoch and Owner it identifies
		// a write, so that a writer whose answer was lost can tell whether the store has it.
		Writes int64 `json:"writes"`
		// BodyChunks, ResultChunks and Progress count the keys that hold the submission, results,
		// and partial text of unfinished items. Results and ItemCount count results and items.
		BodyChunks   int  `json:"parts"`
		ResultChunks int  `json:"chunks"`
		Progress     int  `json:"progress,omitempty"`
		Results      int  `json:"results"`
		ItemCount    int  `json:"total"`
		Ended        bool `json:"ended,omitempty"`
		// Replicas are the replicas on which the owner may publish results without the store. A
		// new owner seals them before it continues.
		Replicas []Replica `json:"copies,omitempty"`
		// AgeMs is the time since the submission was accepted, in milliseconds, as of the
		// write. It is the sum of the times measured on the monotonic clocks of successive
		// owners and excludes time without an owner. Wall clocks differ between instances and
		// may jump; a jump in the age would have the batch given up or removed while its
		// trainer still waits for it.
		AgeMs int64 `json:"ageMs"`
	}
)

// SameWrite reports whether h and o come from the same write of the same owner.
func (h Head) SameWrite(o Head) bool {
	return h.Owner == o.Owner && h.Epoch == o.Epoch && h.Writes == o.Writes
}

// Memory returns the memory of the item at the instance that runs it, in bytes.
func (it *Item) Memory() int64 {
	n := itemBytes + len(it.ID) + len(it.Target) + len(it.Group) + len(it.Body)
	for name, value := range it.Headers {
		n += headerBytes + len(name) + len(value)
	}
	if it.Scoring != nil {
		n += len(it.Scoring.ID) + len(it.Scoring.Host) + len(it.Scoring.Target) + len(it.Scoring.Body)
	}
	return int64(n)
}

// Memory returns the memory of the items at the instance that runs them, in bytes.
func (s *Submission) Memory() int64 {
	n := int64(0)
	for i := range s.Items {
		n += s.Items[i].Memory()
	}
	return n
}

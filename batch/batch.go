// Package batch holds batch submissions, their items and results, as they are
// kept in the metadata store.
package batch

const (
	// Completed items have their whole text.
	Completed State = "completed"
	// Errored items were given up.
	Errored State = "errored"
)

type (
	// State says how an item ended.
	State string

	// Submission is many requests that were handed in at once.
	Submission struct {
		ID string `json:"id"`
		// Customer handed it in; "" where customers have no keys. It is kept in the head.
		Customer string `json:"-"`
		// Host and Target select the route, at each send anew.
		Host   string `json:"host"`
		Target string `json:"target"`
		// Model and MinVersion bound which weights may generate tokens.
		Model      string `json:"model"`
		MinVersion int64  `json:"minVersion"`
		Step       int    `json:"step"`
		// Desired is the number of groups that the trainer waits for.
		Desired int    `json:"desired"`
		Items   []Item `json:"items"`
	}

	// Item is one request of a submission.
	Item struct {
		ID      string            `json:"id"`
		Target  string            `json:"target"`
		Headers map[string]string `json:"headers,omitempty"`
		Body    []byte            `json:"body,omitempty"`
		// Tokens is the most that the item can take; Hint is the estimate of
		// its output, right at the median only, 0 if there is none.
		Tokens int    `json:"tokens,omitempty"`
		Hint   int    `json:"hint,omitempty"`
		Group  string `json:"group,omitempty"`
		// Scoring is the call that scores the whole text; nil if the text alone is
		// asked for.
		Scoring *Scoring `json:"scoring,omitempty"`
	}

	// Scoring is a request to a plain service that scores an item. It is sent once
	// the text is whole, never before, and may be sent again.
	Scoring struct {
		ID string `json:"id"`
		// Host and Target select the route, at each send anew.
		Host   string `json:"host"`
		Target string `json:"target"`
		Body   []byte `json:"body,omitempty"`
	}

	// Result is a finished item. Its position in the list of results and its
	// content never change once it has been read.
	Result struct {
		ID    string `json:"id"`
		State State  `json:"state"`
		Text  string `json:"text"`
		// Versions are those under which the text was generated, ascending.
		Versions []int64 `json:"versions,omitempty"`
		// Score is the receipt of the scoring service. A completed item that has a
		// scoring call always has one.
		Score string `json:"score,omitempty"`
	}

	// Progress is text of an item that still runs.
	Progress struct {
		ID string `json:"id"`
		// From is the number of events before Texts; 0 starts the item anew.
		From  int      `json:"from"`
		Texts []string `json:"texts"`
		// Last is the id of the last event of Texts, Versions those of all text
		// so far.
		Last     int64   `json:"last"`
		Versions []int64 `json:"versions,omitempty"`
		// Whole says that nothing follows Last: the item only lacks its score.
		Whole bool `json:"whole,omitempty"`
	}

	// Copy is a place on which results are kept while the store is away.
	Copy struct {
		Instance string `json:"instance"`
		// Disk is the disk's id: an instance whose disk was replaced has nothing.
		Disk string `json:"disk"`
	}

	// Head is the record whose revision fences all writes about a submission.
	Head struct {
		// Holder is the instance that runs the items; Epoch grows with each
		// change of it.
		Holder string `json:"holder"`
		Epoch  int64  `json:"epoch"`
		// Customer owns the submission, whichever of its keys it was handed in with. Nobody
		// else may read or end it, and its items run in this name, also once the customer
		// has lost that key or is gone. "" where customers have no keys.
		Customer string `json:"customer,omitempty"`
		// Writes counts the writes of this epoch. Together with Epoch and
		// Holder it tells a writer whose answer was lost whether its write is
		// the one that the store has.
		Writes int64 `json:"writes"`
		// Parts, Chunks and Progress count the keys with the submission, with
		// results, and with text of items that ran at the time; Results and Total
		// count results and items.
		Parts    int  `json:"parts"`
		Chunks   int  `json:"chunks"`
		Progress int  `json:"progress,omitempty"`
		Results  int  `json:"results"`
		Total    int  `json:"total"`
		Ended    bool `json:"ended,omitempty"`
		// Copies are where the holder may list results without the store. A successor
		// seals one of them before it goes on.
		Copies []Copy `json:"copies,omitempty"`
		// AgeMs is how long ago the submission was accepted, in milliseconds, at
		// the time of the write. It is counted on the steady clocks of its holders,
		// one after the other, and leaves out the time that it had none: the time of
		// day differs between instances and may jump, and a submission whose age
		// jumped would be given up, or removed, while its trainer waits for it.
		AgeMs int64 `json:"ageMs"`
	}
)

// SameWrite reports whether h and o are one write of one holder.
func (h Head) SameWrite(o Head) bool {
	return h.Holder == o.Holder && h.Epoch == o.Epoch && h.Writes == o.Writes
}

package brun

import (
	"github.com/lavendermux/lavendermux/batch"
)

const (
	// entryBytes is the size of a result or a progress entry in JSON without its texts, as an estimate.
	entryBytes = 200
	// escapeBytes is by how much JSON lengthens a byte at most.
	escapeBytes = 5
)

// encodedSize is the size of a text in JSON, or somewhat more.
func encodedSize(text string) int {
	n := len(text)
	for i := range len(text) {
		// 0xe2 begins the two line separators that are escaped.
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' || c == 0x7f || c == 0xe2 {
			n += escapeBytes
		}
	}
	return n
}

// resultSize is the size of a result in JSON, or somewhat more.
func resultSize(r batch.Result) int {
	return entryBytes + encodedSize(r.ID) + encodedSize(r.Score) + encodedSize(r.Text) + len(r.Versions)*20
}

// progressSize is the size of an entry of partial text in JSON, or somewhat more.
func progressSize(p batch.Progress) int {
	n := entryBytes + encodedSize(p.ID) + len(p.Versions)*20
	for _, t := range p.Texts {
		n += encodedSize(t) + len(`"",`)
	}
	return n
}

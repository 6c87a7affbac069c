// Package simtxt is the text that a stand-in for a model engine makes. Each
// word follows from the model, the version, the prompt and the position, so a
// test can tell from the text alone which weights made it and whose it is.
package simtxt

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// marks is how many marks of prompts there are.
	marks = 1 << 16
)

// Text is one answer to one prompt. Each of its tokens is one word such as
// "draft@12:0017/3fa9", then a space: model, version, position from 0 on, and a
// mark of the prompt. The version of weights that the engine itself does not
// know is empty.
type Text struct {
	// Model has no "@" in it.
	Model string
	// Prompt is what the text continues.
	Prompt string
}

// Word returns the word at a position, with its space.
func (t Text) Word(version string, position int64) string {
	return fmt.Sprintf("%s@%s:%04d/%04x ", t.Model, version, position, t.mark())
}

// Versions checks that each word of text belongs to this model and prompt and
// stands in its place, and returns the versions word by word.
func (t Text) Versions(text string) ([]string, error) {
	words := strings.Fields(text)
	versions := make([]string, 0, len(words))
	for i, word := range words {
		version, err := t.version(word, int64(i))
		if err != nil {
			return nil, err
		}
		versions = append(versions, version)
	}
	return versions, nil
}

func (t Text) version(word string, position int64) (string, error) {
	rest, found := strings.CutPrefix(word, t.Model+"@")
	if !found {
		return "", fmt.Errorf("word %d, %q, is not of model %q", position, word, t.Model)
	}
	version, place, _ := strings.Cut(rest, ":")
	number, mark, _ := strings.Cut(place, "/")
	if n, err := strconv.ParseInt(number, 10, 64); err != nil || n != position {
		return "", fmt.Errorf("word %d, %q, is out of its place", position, word)
	}
	if want := fmt.Sprintf("%04x", t.mark()); mark != want {
		return "", fmt.Errorf("word %d, %q, answers another prompt than %s", position, word, want)
	}
	return version, nil
}

func (t Text) mark() uint64 {
	return xxhash.Sum64String(t.Prompt) % marks
}

// Package simtxt defines the text that a simulated model engine generates. Each
// word encodes the model, the weight version, the prompt and the position, so that
// a test can verify from the text alone which weights and prompt it stems from.
package simtxt

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// promptHashCount is the number of distinct prompt hashes, which have four hex
	// digits.
	promptHashCount = 1 << 16
)

// Text describes the answer to a prompt. Each token is one word such as
// "draft@12:0017/3fa9" and a space: model, version, position from 0, and a hash of
// the prompt. The version is empty for weights whose version the engine doesn't
// know.
type Text struct {
	// Model must not contain "@".
	Model string
	// Prompt is the prompt that the text continues.
	Prompt string
}

// Word returns the word at a position, including the trailing space.
func (t Text) Word(version string, position int64) string {
	return fmt.Sprintf("%s@%s:%04d/%04x ", t.Model, version, position, t.promptHash())
}

// Versions checks that each word of text has this model and prompt and its correct
// position, and returns the version of each word.
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
	version, posAndHash, _ := strings.Cut(rest, ":")
	number, promptHash, _ := strings.Cut(posAndHash, "/")
	if n, err := strconv.ParseInt(number, 10, 64); err != nil || n != position {
		return "", fmt.Errorf("word %d, %q, is out of position", position, word)
	}
	if want := fmt.Sprintf("%04x", t.promptHash()); promptHash != want {
		return "", fmt.Errorf("word %d, %q, belongs to another prompt than %s", position, word, want)
	}
	return version, nil
}

func (t Text) promptHash() uint64 {
	return xxhash.Sum64String(t.Prompt) % promptHashCount
}

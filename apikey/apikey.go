// Package apikey maps API keys to customers.
package apikey

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

const (
	// authScheme is the only accepted scheme of the Authorization header.
	authScheme = "Bearer"
	// maxKeyBytes bounds a key, so that a caller can't make the server hash megabytes.
	maxKeyBytes = 512
	// hashBytes is the length of the truncated SHA-256 hash of a key. The probability of
	// a collision among 14,000 keys is 3e-31.
	hashBytes = 16
)

type (
	// Index maps the keys of all customers to their names. Once filled it is immutable and
	// safe for concurrent use. It holds only hashes, so that a memory dump reveals no key
	// and the time of a lookup tells nothing about the known keys. See New.
	Index struct {
		byHash map[hash]int32
		names  []string
	}

	// Option configures an Index.
	Option func(*Index)

	hash [hashBytes]byte

	// DuplicateError reports a key that two customers share. It can't identify either, so
	// neither may use it.
	DuplicateError struct {
		First  string
		Second string
	}
)

// Error names the customers, never the key.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("customers %q and %q have the same key", e.First, e.Second)
}

// New returns an empty Index.
//
//	r := apikey.New()
//	err := r.Add("huka270", "ftimaj3nr26tta828m82")
//	name, ok := r.Customer("Bearer ftimaj3nr26tta828m82")
func New(opts ...Option) *Index {
	r := &Index{byHash: make(map[hash]int32)}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithSize preallocates space for the given number of keys. The default is 0.
func WithSize(keys int) Option {
	return func(r *Index) { r.byHash = make(map[hash]int32, keys) }
}

// Add adds keys of a customer; empty keys are ignored. Its error is a *DuplicateError.
func (r *Index) Add(customer string, keys ...string) error {
	owner := int32(len(r.names))
	r.names = append(r.names, customer)
	for _, key := range keys {
		if key == "" {
			continue
		}
		h := hashOf(key)
		if first, ok := r.byHash[h]; ok && r.names[first] != customer {
			return &DuplicateError{First: r.names[first], Second: customer}
		}
		r.byHash[h] = owner
	}
	return nil
}

// Customer returns the customer whose key the values of the Authorization header
// contain. ok is false for any other scheme, for a missing, empty, oversized or unknown
// key and for more than one value.
func (r *Index) Customer(authorization ...string) (name string, ok bool) {
	if len(authorization) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(authorization[0], " ")
	key = strings.Trim(key, " \t")
	if !strings.EqualFold(scheme, authScheme) || key == "" || len(key) > maxKeyBytes {
		return "", false
	}
	owner, ok := r.byHash[hashOf(key)]
	if !ok {
		return "", false
	}
	return r.names[owner], true
}

// Len returns the number of known keys.
func (r *Index) Len() int { return len(r.byHash) }

func hashOf(key string) hash {
	sum := sha256.Sum256([]byte(key))
	return hash(sum[:hashBytes])
}

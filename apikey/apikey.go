// Package apikey tells which customer a key belongs to.
package apikey

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

const (
	// scheme is the one way in which callers send a key.
	scheme = "Bearer"
	// keyMost bounds a key, so that a caller can't have megabytes hashed.
	keyMost = 512
	// hashBytes of a key's SHA-256 tell it from all others: 14,000 keys share one with
	// a chance of 3e-31.
	hashBytes = 16
)

type (
	// Ring knows the keys of all customers. It isn't changed once it is made, so that it
	// may be shared. It holds hashes: a dump of the process's memory names no key, and
	// the time of a look-up tells nothing about the keys that are there. See New.
	Ring struct {
		byHash map[hash]int32
		names  []string
	}

	// Option changes a Ring as New makes it.
	Option func(*Ring)

	hash [hashBytes]byte

	// TakenError says that two customers have one key. Whoever sends it could be
	// either, so that neither may use it.
	TakenError struct {
		First  string
		Second string
	}
)

// Error names the customers, never the key.
func (e *TakenError) Error() string {
	return fmt.Sprintf("customers %q and %q have the same key", e.First, e.Second)
}

// New returns a ring without keys.
//
//	r := apikey.New()
//	err := r.Add("huka270", "ftimaj3nr26tta828m82")
//	name, ok := r.Customer("Bearer ftimaj3nr26tta828m82")
func New(opts ...Option) *Ring {
	r := &Ring{byHash: make(map[hash]int32)}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithSize makes room for so many keys. The default is none.
func WithSize(keys int) Option {
	return func(r *Ring) { r.byHash = make(map[hash]int32, keys) }
}

// Add gives a customer more keys; empty ones are passed over. Its error is a
// *TakenError.
func (r *Ring) Add(customer string, keys ...string) error {
	at := int32(len(r.names))
	r.names = append(r.names, customer)
	for _, key := range keys {
		if key == "" {
			continue
		}
		h := hashOf(key)
		if first, ok := r.byHash[h]; ok && r.names[first] != customer {
			return &TakenError{First: r.names[first], Second: customer}
		}
		r.byHash[h] = at
	}
	return nil
}

// Customer returns whose key an Authorization header carries. Any other scheme, a
// missing, empty or huge key, and a list of several belong to nobody.
func (r *Ring) Customer(authorization ...string) (name string, ok bool) {
	if len(authorization) != 1 {
		return "", false
	}
	got, key, _ := strings.Cut(authorization[0], " ")
	key = strings.Trim(key, " \t")
	if !strings.EqualFold(got, scheme) || key == "" || len(key) > keyMost {
		return "", false
	}
	at, ok := r.byHash[hashOf(key)]
	if !ok {
		return "", false
	}
	return r.names[at], true
}

// Keys is how many keys are known.
func (r *Ring) Keys() int { return len(r.byHash) }

func hashOf(key string) hash {
	sum := sha256.Sum256([]byte(key))
	return hash(sum[:hashBytes])
}

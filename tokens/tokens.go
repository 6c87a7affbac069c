// Package tokens lets in who carries a token that the settings' token file
// knows, and only to what the token is for.
//
// The file holds hashes, so that who reads it cannot act as anyone. Tokens are
// 32 random bytes; for such a hash needs no salt and no slowness.
package tokens

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/reply"
	"github.com/lavendermux/lavendermux/strict"
)

const (
	hashPrefix = "sha256:"
	bearer     = "Bearer "
	anyKind    = "*"
	read       = "read"
	write      = "write"
)

// openPaths are for the platform's balancer, which carries no token.
var openPaths = []string{"/healthz", "/readyz"}

type (
	// Keys are the tokens that are let in. The zero Keys let nobody in.
	Keys struct {
		byHash map[[sha256.Size]byte]holder
	}

	// Option changes how Guard works.
	Option func(*guard)

	guard struct {
		callerHeader string
	}

	// holder is one line of the token file.
	holder struct {
		// Name is who holds the token; unique, not empty. A caller is called so.
		Name string `json:"name"`
		// Hash is "sha256:" and the token's hash in hexadecimal.
		Hash string `json:"hash"`
		// Caller lets the holder send live requests.
		Caller bool `json:"caller"`
		// Subscriptions are those that the holder may pull as their trainer.
		Subscriptions []string `json:"subscriptions"`
		// Kinds are the operator's rights, "read" or "write", by kind of
		// resource; "*" stands for all kinds.
		Kinds map[string]string `json:"kinds"`
	}

	file struct {
		Tokens []holder `json:"tokens"`
	}

	nameKey struct{}
)

// Load reads a token file. Its error is a *fault.FieldsError.
//
//	keys, err := tokens.Load(raw)
//	handler = keys.Guard(handler)
func Load(raw []byte) (*Keys, error) {
	var f file
	if err := strict.Decode(raw, &f); err != nil {
		return nil, err
	}
	k := &Keys{byHash: make(map[[sha256.Size]byte]holder)}
	var bad fault.FieldsError
	names := make(map[string]bool)
	for i, h := range f.Tokens {
		path := fmt.Sprintf("tokens[%d]", i)
		bad.Check(h.Name != "", path+".name", "is empty")
		bad.Check(!names[h.Name], path+".name", "stands twice")
		names[h.Name] = true
		h.checkKinds(&bad, path)
		hash, ok := parseHash(h.Hash)
		if !ok {
			bad.Addf(path+".hash", `is not "sha256:" and 64 hexadecimal digits; "lavendermux settings token" makes one`)
			continue
		}
		_, twice := k.byHash[hash]
		bad.Check(!twice, path+".hash", "stands twice")
		k.byHash[hash] = h
	}
	return k, bad.Err()
}

// Make returns a new token, and the hash of it that the file holds.
func Make() (token, hash string) {
	token = rand.Text() + rand.Text()
	sum := sha256.Sum256([]byte(token))
	return token, hashPrefix + hex.EncodeToString(sum[:])
}

// Name returns who sent the request that ctx belongs to; empty without a guard.
func Name(ctx context.Context) string {
	name, _ := ctx.Value(nameKey{}).(string)
	return name
}

// WithCallerHeader sets the header that names a caller. The guard overwrites it
// with the token's holder: otherwise a caller could take another's share by
// using its name, and the other would see refusals without a cause. The default
// is none.
func WithCallerHeader(name string) Option {
	return func(g *guard) { g.callerHeader = name }
}

// Guard passes on to next what a token allows, and refuses the rest.
func (k *Keys) Guard(next http.Handler, opts ...Option) http.Handler {
	var g guard
	for _, opt := range opts {
		opt(&g)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(openPaths, r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		h, ok := k.find(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			refuse(w, reply.CodeUnauthenticated, "the request carries no token that is known here")
			return
		}
		if !h.may(r) {
			refuse(w, reply.CodeForbidden, "the token of "+h.Name+" is not for "+r.Method+" "+r.URL.Path)
			return
		}
		if g.callerHeader != "" {
			r.Header.Set(g.callerHeader, h.Name)
		}
		r.Header.Del("Authorization")
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), nameKey{}, h.Name)))
	})
}

// find returns the holder of the request's token. A lookup by hash may take a
// different time for different hashes, but who does not know a token cannot aim
// at a hash.
func (k *Keys) find(r *http.Request) (holder, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return holder{}, false
	}
	h, ok := k.byHash[sha256.Sum256([]byte(token))]
	return h, ok
}

// may reports whether the holder may send the request.
func (h holder) may(r *http.Request) bool {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if parts[0] == "metrics" {
		return len(h.Kinds) > 0
	}
	if len(parts) < 2 || parts[0] != "v1" {
		return false
	}
	third := ""
	if len(parts) > 2 {
		third = parts[2]
	}
	switch parts[1] {
	case "resources":
		return h.mayResource(r.Method, third)
	case "explain":
		return h.right(third) != ""
	case "watch":
		return h.right(r.URL.Query().Get("kind")) != ""
	case "held":
		return h.mayResource(r.Method, anyKind)
	case "burn", "metrics":
		return len(h.Kinds) > 0
	case "subscriptions":
		return slices.Contains(h.Subscriptions, third)
	}
	return h.Caller
}

// mayResource reports whether the holder may read or change resources of a kind;
// no kind means all of them.
func (h holder) mayResource(method, kind string) bool {
	right := h.right(kind)
	if method == http.MethodGet || method == http.MethodHead {
		return right != ""
	}
	return right == write
}

func (h holder) right(kind string) string {
	if right, ok := h.Kinds[kind]; ok && kind != "" {
		return right
	}
	return h.Kinds[anyKind]
}

func (h holder) checkKinds(bad *fault.FieldsError, path string) {
	for kind, right := range h.Kinds {
		at := path + ".kinds." + kind
		bad.Check(kind == anyKind || slices.Contains(object.Kinds, kind), at, `is no kind; there are "*", `+strings.Join(object.Kinds, ", "))
		bad.Check(right == read || right == write, at, `is "read" or "write"`)
	}
}

func parseHash(s string) ([sha256.Size]byte, bool) {
	var hash [sha256.Size]byte
	digits, ok := strings.CutPrefix(s, hashPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, err == nil
}

func refuse(w http.ResponseWriter, code, reason string) {
	reply.Failure{Code: code, Reason: reason, Outcome: reply.OutcomeNotRun}.Write(w)
}

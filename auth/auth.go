// Package auth authenticates and authorizes HTTP requests by the bearer tokens
// in the token file of the settings.
//
// The file holds only hashes, so that a reader of the file cannot impersonate
// anyone. Tokens are 32 random bytes, whose hash needs neither a salt nor a slow
// hash function.
package auth

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/lavendermux/lavendermux/apierr"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/strict"
)

const (
	hashPrefix   = "sha256:"
	bearerPrefix = "Bearer "
	anyKind      = "*"
	rightRead    = "read"
	rightWrite   = "write"
)

// unauthenticatedPaths serve the platform's load balancer, which sends no token.
var unauthenticatedPaths = []string{"/healthz", "/readyz"}

type (
	// TokenSet are the accepted tokens. The zero value rejects every request.
	TokenSet struct {
		byHash map[[sha256.Size]byte]principal
	}

	// Option configures Middleware.
	Option func(*middlewareOptions)

	middlewareOptions struct {
		callerHeader string
	}

	// principal is one entry of the token file.
	principal struct {
		// Name identifies the principal, also as a caller; unique, not empty.
		Name string `json:"name"`
		// Hash is "sha256:" and the token's hash in hexadecimal digits.
		Hash string `json:"hash"`
		// Caller allows live requests.
		Caller bool `json:"caller"`
		// Subscriptions are those that the principal may pull from as a trainer.
		Subscriptions []string `json:"subscriptions"`
		// Kinds are the operator's rights, "read" or "write", by resource kind; "*"
		// means all kinds.
		Kinds map[string]string `json:"kinds"`
	}

	tokenFile struct {
		Tokens []principal `json:"tokens"`
	}

	principalKey struct{}
)

// Load parses a token file. Its error is a *fault.FieldsError.
//
//	keys, err := auth.Load(raw)
//	handler = keys.Middleware(handler)
func Load(raw []byte) (*TokenSet, error) {
	var f tokenFile
	if err := strict.Decode(raw, &f); err != nil {
		return nil, err
	}
	k := &TokenSet{byHash: make(map[[sha256.Size]byte]principal)}
	var bad fault.FieldsError
	names := make(map[string]bool)
	for i, p := range f.Tokens {
		path := fmt.Sprintf("tokens[%d]", i)
		bad.Check(p.Name != "", path+".name", "is empty")
		bad.Check(!names[p.Name], path+".name", "is a duplicate")
		names[p.Name] = true
		p.checkKinds(&bad, path)
		hash, ok := parseHash(p.Hash)
		if !ok {
			bad.Addf(path+".hash", `is not "sha256:" and 64 hexadecimal digits; "lavendermux settings token" generates one`)
			continue
		}
		_, duplicate := k.byHash[hash]
		bad.Check(!duplicate, path+".hash", "is a duplicate")
		k.byHash[hash] = p
	}
	return k, bad.Err()
}

// NewToken generates a random token and returns it with its hash for the token file.
func NewToken() (token, hash string) {
	token = rand.Text() + rand.Text()
	sum := sha256.Sum256([]byte(token))
	return token, hashPrefix + hex.EncodeToString(sum[:])
}

// Principal returns the authenticated principal of a request's context, or "" if there
// is none.
func Principal(ctx context.Context) string {
	name, _ := ctx.Value(principalKey{}).(string)
	return name
}

// WithCallerHeader sets the header that names the caller. Middleware overwrites it with
// the token's principal: otherwise a caller could use up another's share by
// sending its name, and the other would be rejected for no reason of its own. The
// default is none.
func WithCallerHeader(name string) Option {
	return func(g *middlewareOptions) { g.callerHeader = name }
}

// Middleware returns a handler that passes authorized requests to next and rejects all
// others.
func (k *TokenSet) Middleware(next http.Handler, opts ...Option) http.Handler {
	var g middlewareOptions
	for _, opt := range opts {
		opt(&g)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(unauthenticatedPaths, r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		p, ok := k.lookup(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, apierr.CodeUnauthenticated, "the request carries no token that is known here")
			return
		}
		if !p.allows(r) {
			writeError(w, apierr.CodeForbidden, "the token of "+p.Name+" is not for "+r.Method+" "+r.URL.Path)
			return
		}
		if g.callerHeader != "" {
			r.Header.Set(g.callerHeader, p.Name)
		}
		r.Header.Del("Authorization")
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, p.Name)))
	})
}

// lookup returns the principal of the request's token. The time of a map lookup may
// depend on the hash, but without a token an attacker cannot target a hash.
func (k *TokenSet) lookup(r *http.Request) (principal, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return principal{}, false
	}
	p, ok := k.byHash[sha256.Sum256([]byte(token))]
	return p, ok
}

// allows reports whether the principal is authorized for the request.
func (p principal) allows(r *http.Request) bool {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if parts[0] == "metrics" {
		return len(p.Kinds) > 0
	}
	if len(parts) < 2 || parts[0] != "v1" {
		return false
	}
	name := ""
	if len(parts) > 2 {
		name = parts[2]
	}
	switch parts[1] {
	case "resources":
		return p.allowsResource(r.Method, name)
	case "explain":
		return p.right(name) != ""
	case "watch":
		return p.right(r.URL.Query().Get("kind")) != ""
	case "held":
		return p.allowsResource(r.Method, anyKind)
	case "burn", "metrics":
		return len(p.Kinds) > 0
	case "subscriptions":
		return slices.Contains(p.Subscriptions, name)
	}
	return p.Caller
}

// allowsResource reports whether the principal may use method on resources of kind;
// an empty kind means all kinds.
func (p principal) allowsResource(method, kind string) bool {
	right := p.right(kind)
	if method == http.MethodGet || method == http.MethodHead {
		return right != ""
	}
	return right == rightWrite
}

func (p principal) right(kind string) string {
	if right, ok := p.Kinds[kind]; ok && kind != "" {
		return right
	}
	return p.Kinds[anyKind]
}

func (p principal) checkKinds(bad *fault.FieldsError, path string) {
	for kind, right := range p.Kinds {
		at := path + ".kinds." + kind
		bad.Check(kind == anyKind || slices.Contains(object.Kinds, kind), at, `is not a resource kind; use "*", `+strings.Join(object.Kinds, ", "))
		bad.Check(right == rightRead || right == rightWrite, at, `must be "read" or "write"`)
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

func writeError(w http.ResponseWriter, code, reason string) {
	apierr.Response{Code: code, Reason: reason, Outcome: apierr.OutcomeNotRun}.Write(w)
}

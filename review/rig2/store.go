//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/lavendermux/lavendermux/platform/sims/simpst"
)

const (
	// The limits of the platform's store.
	maxValueBytes = 1048576
	maxKeyBytes   = 200
	maxTxnEntries = 32
	maxPageBytes  = 1 << 20
)

// limitedStore is the project's stand-in for the platform's store with the limits of the users' pages,
// which that one doesn't check.
type limitedStore struct {
	*simpst.Store
	rec *record
}

// ServeHTTP implements http.Handler.
func (s *limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/kv-txn"):
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if problem := checkTxn(raw); problem != "" {
			s.rec.printf("store: a write is refused: %s", problem)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		s.Store.ServeHTTP(w, r)
	case strings.HasSuffix(r.URL.Path, "/kv-range"):
		s.list(w, r)
	default:
		s.Store.ServeHTTP(w, r)
	}
}

func checkTxn(raw []byte) string {
	var t struct {
		Expected []any `json:"expected"`
		Puts     []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return err.Error()
	}
	if len(t.Puts)+len(t.Remove)+len(t.Expected) > maxTxnEntries {
		return "too many entries"
	}
	for _, p := range t.Puts {
		if len(p.Value) > maxValueBytes {
			return "the value of " + p.Key + " is too long"
		}
		if len(p.Key) > maxKeyBytes {
			return "the key " + p.Key + " is too long"
		}
	}
	return ""
}

// list answers with a page of about maxPageBytes at most.
func (s *limitedStore) list(w http.ResponseWriter, r *http.Request) {
	full := httptest.NewRecorder()
	s.Store.ServeHTTP(full, r)
	var page struct {
		Items []struct {
			Key      string `json:"key"`
			Value    []byte `json:"value"`
			Revision int64  `json:"revision"`
			Created  int64  `json:"created"`
			Lease    int64  `json:"lease"`
		} `json:"items"`
		HasMore       bool  `json:"hasMore"`
		StoreRevision int64 `json:"storeRevision"`
	}
	if full.Code != http.StatusOK || json.Unmarshal(full.Body.Bytes(), &page) != nil {
		w.WriteHeader(full.Code)
		return
	}
	size := 0
	for i, it := range page.Items {
		size += len(it.Value)
		if size > maxPageBytes && i > 0 {
			page.Items, page.HasMore = page.Items[:i], true
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page) // the caller may have gone
}

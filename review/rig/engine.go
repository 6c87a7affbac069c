//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	engineSlots = 12
	// loadTime is how long a change of version takes.
	loadTime = 900 * time.Millisecond

	itemEvents   = 40
	itemInterval = 100 * time.Millisecond
)

type (
	// engine is a stand-in for a model worker that carries out orders as PROTOCOL.md says: an
	// order with the mode truncate resets the streams of the runs.
	engine struct {
		id      string
		service string
		models  []string

		mu       sync.Mutex
		versions map[string]int64
		newest   func(model string) int64
		loading  string
		seq      int64
		active   map[*run]bool
		runs     []*run
		orders   []string
	}

	// run is one run of an item.
	run struct {
		item, model    string
		from           int
		begin, end     time.Time
		complete, lost bool
		conn           net.Conn
	}

	orderBody struct {
		Opcode   string `json:"opcode"`
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Mode     string `json:"mode"`
		Holder   string `json:"holder"`
		Fence    *int64 `json:"fence"`
		Expected *int64 `json:"expected"`
	}
)

func newEngine(id string, newest func(model string) int64, models ...string) *engine {
	e := &engine{id: id, service: "lm", models: models, versions: make(map[string]int64), newest: newest, active: make(map[*run]bool)}
	for _, m := range models {
		e.versions[m] = 1
	}
	return e
}

// registration returns the entry of the worker in the store.
func (e *engine) registration(addr string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{"service": e.service, "addr": addr, "zone": "zone-a", "version": "v1", "slots": engineSlots,
		"state": "ready", "coldLeftMs": 0, "models": e.modelList(), "seq": e.seq})
	return raw
}

func (e *engine) modelList() []map[string]any {
	var out []map[string]any
	for _, m := range e.models {
		out = append(out, map[string]any{"name": m, "version": e.versions[m], "adapters": []string{}})
	}
	return out
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/lavendermux/report":
		e.mu.Lock()
		raw, _ := json.Marshal(map[string]any{"stage": "both", "models": e.modelList(), "busy": e.loading != "", "seq": e.seq,
			"queueDepth": 0, "inFlight": len(e.active), "kvUsed": 0, "kvTotal": 90000, "handles": 0})
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
	case "/lavendermux/order":
		e.order(w, r)
	default:
		e.serveItem(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Opcode != "version" || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Version > e.newest(o.Model):
		w.WriteHeader(http.StatusBadRequest)
	case e.loading != "" || (o.Expected != nil && *o.Expected != e.seq):
		w.WriteHeader(http.StatusConflict)
	case e.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
	default:
		e.seq++
		e.loading = o.Model
		e.orders = append(e.orders, fmt.Sprintf("%s %d %s", o.Model, o.Version, o.Mode))
		if o.Mode == "truncate" {
			for a := range e.active {
				if a.model == o.Model {
					a.reset()
				}
			}
		}
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.loading = ""
			e.versions[o.Model] = o.Version
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// reset resets the channel of a run.
func (a *run) reset() {
	a.lost = true
	if tcp, ok := a.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = a.conn.Close()
}

// serveItem runs an item and sends its events.
func (e *engine) serveItem(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, model := r.Header.Get("Attempt-Id"), r.Header.Get("Model")
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = -1
	}
	e.mu.Lock()
	if e.loading == model || len(e.active) >= engineSlots {
		e.mu.Unlock()
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		e.mu.Unlock()
		return
	}
	a := &run{item: id, model: model, from: from + 1, begin: time.Now(), conn: conn}
	e.active[a] = true
	e.runs = append(e.runs, a)
	version := e.versions[model]
	e.mu.Unlock()
	defer conn.Close()
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal-%s-%s\r\nWeight-Versions: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
		id, e.id, id, version)
	ok := buf.Flush() == nil
	for n := from + 1; n < itemEvents && ok; n++ {
		time.Sleep(itemInterval)
		e.mu.Lock()
		line := ""
		if current := e.versions[model]; current != version {
			version, line = current, fmt.Sprintf("weight-versions: %d\n", current)
		}
		e.mu.Unlock()
		event := fmt.Sprintf("%sid: %d\ndata: %s-%d\n\n", line, n, id, n)
		_, _ = fmt.Fprintf(buf, "%x\r\n%s\r\n", len(event), event)
		ok = buf.Flush() == nil
	}
	if ok {
		_, _ = buf.WriteString("0\r\n\r\n")
		ok = buf.Flush() == nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, a)
	a.end, a.complete = time.Now(), ok && !a.lost
}

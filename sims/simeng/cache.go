package simeng

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of a cache block in bytes of text.
	blockBytes = 64
	// tokenBytes is the size of a prompt token in bytes of text.
	tokenBytes = 4
	// maxEvents limits the number of buffered cache events.
	maxEvents = 1 << 14

	eventStored  = "stored"
	eventRemoved = "removed"
)

type (
	// cache is an LRU prefix cache of prompt blocks.
	cache struct {
		limit  int
		blocks map[uint64]*list.Element
		// lru holds block hashes, most recently used first.
		lru      *list.List
		events   []event
		seq      int64
		lossRate float64
		rng      *rand.Rand
	}

	// event is one cache change. A gap in the sequence numbers is a lost event.
	event struct {
		Seq  int64  `json:"seq"`
		Kind string `json:"kind"`
		// Block is the hash of the text up to the end of the block. It is encoded
		// as a decimal string because a JSON number can't represent all uint64s.
		Block uint64 `json:"block,string"`
		at    time.Time
	}
)

func newCache(c *config) *cache {
	return &cache{
		limit:    c.cacheBlocks,
		blocks:   make(map[uint64]*list.Element),
		lru:      list.New(),
		lossRate: c.eventLoss,
		rng:      rand.New(rand.NewPCG(c.seed, 0)),
	}
}

// prefixHashes returns one hash per complete block of text, each covering the
// text up to the end of that block. The model and version are part of the hash,
// because a KV cache is only valid for the weights that computed it.
func prefixHashes(model, version, text string) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model + "@" + version + ":")
	out := make([]uint64, 0, len(text)/blockBytes)
	for len(text) >= blockBytes {
		_, _ = h.WriteString(text[:blockBytes])
		out = append(out, h.Sum64())
		text = text[blockBytes:]
	}
	return out
}

// lookupAndStore stores all blocks and returns the length, in blocks, of the
// leading run that was already cached.
func (c *cache) lookupAndStore(blocks []uint64, now time.Time) int {
	hits := 0
	for i, b := range blocks {
		if el := c.blocks[b]; el != nil {
			c.lru.MoveToFront(el)
			if hits == i {
				hits++
			}
			continue
		}
		c.store(b, now)
	}
	return hits
}

func (c *cache) store(block uint64, now time.Time) {
	if c.limit <= 0 {
		return
	}
	if c.lru.Len() >= c.limit {
		oldest := c.lru.Back()
		c.lru.Remove(oldest)
		evicted, _ := oldest.Value.(uint64)
		delete(c.blocks, evicted)
		c.recordEvent(eventRemoved, evicted, now)
	}
	c.blocks[block] = c.lru.PushFront(block)
	c.recordEvent(eventStored, block, now)
}

func (c *cache) recordEvent(kind string, block uint64, now time.Time) {
	c.seq++
	if c.rng.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, event{Seq: c.seq, Kind: kind, Block: block, at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

// eventsSince returns the events with a sequence number above after that were
// recorded at until or earlier.
func (c *cache) eventsSince(after int64, until time.Time) []event {
	out := []event{}
	for _, e := range c.events {
		if e.Seq > after && !e.at.After(until) {
			out = append(out, e)
		}
	}
	return out
}

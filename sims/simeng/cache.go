package simeng

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is how much text one block of the cache holds.
	blockBytes = 64
	// tokenBytes is how much text the engine counts as one token of a prompt.
	tokenBytes = 4
	// maxEvents bounds how many cache events are kept.
	maxEvents = 1 << 14

	eventStored  = "stored"
	eventRemoved = "removed"
)

type (
	// cache holds the prefixes of prompts, block by block, and forgets the one
	// that was used longest ago.
	cache struct {
		limit  int
		blocks map[uint64]*list.Element
		// recent holds hashes of blocks, the latest first.
		recent *list.List
		events []event
		seq    int64
		gap    float64
		rng    *rand.Rand
	}

	// event is one change of the cache. Numbers without an event are lost ones.
	event struct {
		Seq  int64  `json:"seq"`
		Kind string `json:"kind"`
		// Block is the hash of the text up to the block's end, in decimal: a
		// JSON number does not hold it whole.
		Block uint64 `json:"block,string"`
		at    time.Time
	}
)

func newCache(c *config) *cache {
	return &cache{
		limit:  c.cacheBlocks,
		blocks: make(map[uint64]*list.Element),
		recent: list.New(),
		gap:    c.eventGap,
		rng:    rand.New(rand.NewPCG(c.seed, 0)),
	}
}

// hashes returns the hash of each whole block of text, each covering all before
// it. Weights of one version make nothing of use to another.
func hashes(model, version, text string) []uint64 {
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

// use looks up the blocks of a text, keeps them all, and returns how many of
// the first were there.
func (c *cache) use(blocks []uint64, now time.Time) int {
	hits := 0
	for i, b := range blocks {
		if el := c.blocks[b]; el != nil {
			c.recent.MoveToFront(el)
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
	if c.recent.Len() >= c.limit {
		oldest := c.recent.Back()
		c.recent.Remove(oldest)
		gone, _ := oldest.Value.(uint64)
		delete(c.blocks, gone)
		c.note(eventRemoved, gone, now)
	}
	c.blocks[block] = c.recent.PushFront(block)
	c.note(eventStored, block, now)
}

func (c *cache) note(kind string, block uint64, now time.Time) {
	c.seq++
	if c.rng.Float64() < c.gap {
		return
	}
	c.events = append(c.events, event{Seq: c.seq, Kind: kind, Block: block, at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

// since returns the events after a number that are older than a moment.
func (c *cache) since(after int64, until time.Time) []event {
	out := []event{}
	for _, e := range c.events {
		if e.Seq > after && !e.at.After(until) {
			out = append(out, e)
		}
	}
	return out
}

package admit

import (
	"math"
	"time"
)

// meter measures a rate in units a second; the past fades exponentially.
type meter struct {
	rate float64
	last time.Time
}

func (m *meter) add(units float64, now time.Time, memory float64) {
	m.rate = m.at(now, memory) + units/memory
	m.last = now
}

func (m *meter) at(now time.Time, memory float64) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/memory)
}

// refill adds what the caller's rate has earned since the last time.
func (c *caller) refill(cost float64, now time.Time) {
	most := max(cost, c.rate*saved)
	if c.at.IsZero() || math.IsInf(c.rate, 1) {
		c.credit = most
	} else {
		c.credit = min(c.credit+c.rate*now.Sub(c.at).Seconds(), most)
	}
	c.at = now
}

// wait is how long until the caller can afford the cost.
func (c *caller) wait(cost float64) time.Duration {
	if c.rate <= 0 {
		return longest
	}
	return min(time.Duration((cost-c.credit)/c.rate*float64(time.Second)), longest)
}

// longest bounds the time after which a refused caller is told to come back.
const longest = 30 * time.Second

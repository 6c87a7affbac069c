package queue

import (
	"math"
	"time"
)

// meter measures a rate in units per second as an exponentially decaying average.
type meter struct {
	rate float64
	last time.Time
}

func (m *meter) add(units float64, now time.Time, timeConstant float64) {
	m.rate = m.at(now, timeConstant) + units/timeConstant
	m.last = now
}

func (m *meter) at(now time.Time, timeConstant float64) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/timeConstant)
}

package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/scaler"
	"github.com/lavendermux/lavendermux/stat"
)

const (
	scalingTick     = 50 * time.Millisecond
	scalingDuration = 20 * time.Minute
	scalingSlots    = 4
	// scalingServiceTime is the mean service time of a request, scalingMaxWait how
	// long one may wait for a slot before it is late. The queue holds as many requests
	// as there are slots; others are refused.
	scalingServiceTime = 400 * time.Millisecond
	scalingMaxWait     = time.Second
)

type (
	// scalingCommand simulates changing load on a service that is scaled by orders.
	scalingCommand struct {
		Seeds int `help:"How many seeds each play runs on." default:"10"`
	}

	// elasticService is a service whose endpoints become ready a boot time after they
	// were ordered.
	elasticService struct {
		bootTime time.Duration
		// readyAt is when each endpoint becomes ready.
		readyAt []time.Duration
		// finishTimes is when each running request ends, arrivalTimes when each
		// waiting one arrived.
		finishTimes, arrivalTimes []time.Duration
		served, failed            float64
		// endpointSeconds is the total time of all endpoints since their orders.
		endpointSeconds, orders float64
	}

	scalingCase struct {
		name string
		// static is a fixed number of endpoints; 0 leaves it to the scaler.
		static int
		opts   []scaler.Option
	}

	scalingLoad struct {
		name string
		// rate returns the arrivals per second.
		rate func(at time.Duration, phase float64) float64
	}
)

// Run prints one table, or returns a *fault.FieldError.
func (c *scalingCommand) Run() error {
	if c.Seeds < 1 {
		return &fault.FieldError{Field: "seeds", Problem: "is below 1"}
	}
	minutes := func(at time.Duration) float64 { return at.Minutes() }
	loads := []scalingLoad{
		{"steps of 10 and 60 a second", func(at time.Duration, phase float64) float64 {
			return 10 + 50*math.Mod(math.Floor((minutes(at)+phase)/3), 2)
		}},
		{"climbs from 10 to 60", func(at time.Duration, phase float64) float64 {
			return 10 + 50*math.Abs(math.Mod((minutes(at)+phase)/2, 2)-1)
		}},
		{"bursts of 5 s, 10 to 40", func(at time.Duration, phase float64) float64 {
			if math.Mod(at.Seconds()+60*phase, 37) < 5 {
				return 40
			}
			return 10
		}},
		{"even, 30", func(time.Duration, float64) float64 { return 30 }},
	}
	cases := []scalingCase{
		{name: "for the mean, unchanged", static: 5},
		{name: "for the highest, unchanged", static: 10},
		{name: "the load as it is", opts: []scaler.Option{scaler.WithSmoothing(0)}},
		{name: "the load as it will be", opts: []scaler.Option{scaler.WithSmoothing(0), scaler.WithForecast()}},
		{name: "smoothed"},
		{name: "smoothed, as it will be", opts: []scaler.Option{scaler.WithForecast()}},
	}
	t := newTable("load", "boot s", "way", "late or refused", "endpoints", "orders an hour")
	for _, l := range loads {
		for _, boot := range []time.Duration{2 * time.Second, 10 * time.Second} {
			for _, policy := range cases {
				var failed, mean, orders stat.Series
				for _, b := range runSeeds(c.Seeds, func(seed uint64) *elasticService { return scalingOnce(policy, l, boot, seed) }) {
					failed.Add(b.failed / max(1, b.failed+b.served))
					mean.Add(b.endpointSeconds / scalingDuration.Seconds())
					orders.Add(b.orders / scalingDuration.Hours())
				}
				t.add([]string{l.name, boot.String(), policy.name}, &failed, &mean, &orders)
			}
		}
	}
	t.print()
	return nil
}

func scalingOnce(c scalingCase, l scalingLoad, bootTime time.Duration, seed uint64) *elasticService {
	rng := rand.New(rand.NewPCG(seed, 1))
	phase := rng.Float64()
	b := &elasticService{bootTime: bootTime}
	b.order(max(4, c.static), -time.Hour)
	s := scaler.New(c.opts...)
	limits := scaler.Limits{Min: 1, Max: 20, Boot: bootTime}
	for at := time.Duration(0); at < scalingDuration; at += scalingTick {
		arrivals := poisson(rng, l.rate(at, phase)*scalingTick.Seconds())
		b.step(rng, at, arrivals)
		if c.static > 0 || at%(5*scalingTick) != 0 {
			continue
		}
		wanted := s.Targets(limits, scaler.Observation{
			Now: at, Load: float64(len(b.finishTimes) + len(b.arrivalTimes)), Slots: scalingSlots, Endpoints: map[string]int{"a": len(b.readyAt)},
		})["a"]
		if wanted != len(b.readyAt) {
			b.order(wanted, at)
			b.orders++
		}
	}
	return b
}

// order changes the number of endpoints; those removed finish what they run.
func (b *elasticService) order(n int, at time.Duration) {
	for len(b.readyAt) < n {
		b.readyAt = append(b.readyAt, at+b.bootTime)
	}
	b.readyAt = b.readyAt[:n]
}

func (b *elasticService) step(rng *rand.Rand, at time.Duration, arrivals int) {
	b.endpointSeconds += float64(len(b.readyAt)) * scalingTick.Seconds()
	running := b.finishTimes[:0]
	for _, end := range b.finishTimes {
		if end > at {
			running = append(running, end)
		} else {
			b.served++
		}
	}
	b.finishTimes = running
	slots := 0
	for _, readyAt := range b.readyAt {
		if readyAt <= at {
			slots += scalingSlots
		}
	}
	waiting := b.arrivalTimes[:0]
	for _, arrivedAt := range b.arrivalTimes {
		if at-arrivedAt > scalingMaxWait {
			b.failed++
		} else {
			waiting = append(waiting, arrivedAt)
		}
	}
	b.arrivalTimes = waiting
	for range arrivals {
		if len(b.arrivalTimes) < slots {
			b.arrivalTimes = append(b.arrivalTimes, at)
		} else {
			b.failed++
		}
	}
	for len(b.arrivalTimes) > 0 && len(b.finishTimes) < slots {
		b.arrivalTimes = b.arrivalTimes[1:]
		b.finishTimes = append(b.finishTimes, at+time.Duration(rng.ExpFloat64()*float64(scalingServiceTime)))
	}
}

// poisson draws a number of arrivals with the given mean.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

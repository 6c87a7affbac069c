package main

import (
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/admit"
	"github.com/lavendermux/lavendermux/lbsim"
	"github.com/lavendermux/lavendermux/queue"
	"github.com/lavendermux/lavendermux/route"
)

// product selects the product's own policies among the baselines.
const product = "lavendermux"

// baseScenario is a small deployment: three entries and ten workers in three data
// centres.
func baseScenario() lbsim.Scenario {
	return lbsim.Scenario{
		Entries: 3, Sidecars: 10, Slots: 8, DataCentres: 3,
		Duration: 600 * time.Second,
		Load:     0.9, LiveShare: 0.6, LongShare: 0.2,
		Callers:     20,
		LengthError: 0.4,
		Queue:       product, Route: product, Retry: "budget",
		Eject: true, Admit: true, LiveReserve: 0.125,
	}
}

func comparisons() []comparison {
	var all []comparison
	all = append(all, queueComparisons()...)
	all = append(all, queueParameters()...)
	all = append(all, biasedEstimates(), retryAfter(), liveReserves(), poolMinimums())
	all = append(all, fairness()...)
	all = append(all, bursts(), routes(), staleLoad(), staleLoadUnsubset(), prefixAffinity(200), prefixAffinity(4))
	all = append(all, faults()...)
	return append(all, subsets(), retries())
}

func queueComparisons() []comparison {
	var all []comparison
	for _, load := range []float64{0.8, 1, 2, 4} {
		p := baseScenario()
		p.Load = load
		p.Admit = false
		p.LiveReserve = 0
		all = append(all, comparison{
			name:     fmt.Sprintf("queue at load %g", load),
			text:     "Long work among short; the sidecar's queue only, no reserve, no fairness at the entry.",
			scenario: p,
			columns: []string{
				columnGood, columnLive, columnLong, columnTokens, columnShort, columnWasted,
				columnRefusal, columnRefusalMean,
			},
			variants: append(queueVariants(), variant{"lavendermux, no forecast", func(p *lbsim.Scenario) {
				p.QueueOptions = []queue.Option{queue.WithForecastWindow(0)}
			}}),
		})
	}
	return all
}

func queueVariants() []variant {
	var variants []variant
	for _, q := range []string{"fcfs", "bounded", "deadline", "shortest", "liveFcfs", "liveShortest", product} {
		variants = append(variants, variant{q, func(p *lbsim.Scenario) { p.Queue = q }})
	}
	return variants
}

func queueParameters() []comparison {
	var variants []variant
	for _, x := range []float64{0, 1, 2, 3, 4, 8} {
		variants = append(variants, queueVariant("stretch %g", x, queue.WithStretch(x)))
	}
	for _, x := range []float64{1, 1.15, 1.3, 1.5} {
		variants = append(variants, queueVariant("margin %g", x, queue.WithMargin(x)))
	}
	for _, x := range []float64{5, 10, 20, 30, 60} {
		variants = append(variants, queueVariant("forecast %g s", x, queue.WithForecastWindow(seconds(x))))
	}
	var all []comparison
	for _, load := range []float64{1, 2, 4} {
		p := baseScenario()
		p.Load = load
		p.Admit = false
		p.LiveReserve = 0
		all = append(all, comparison{
			name:     fmt.Sprintf("queue sweep at load %g", load),
			text:     "The thresholds of the queue, one changed at a time.",
			scenario: p,
			columns:  []string{columnGood, columnLive, columnLong, columnShort, columnWasted, columnRefusal},
			variants: variants,
		})
	}
	return all
}

func queueVariant(format string, x float64, opt queue.Option) variant {
	return variant{fmt.Sprintf(format, x), func(p *lbsim.Scenario) { p.QueueOptions = []queue.Option{opt} }}
}

func biasedEstimates() comparison {
	p := baseScenario()
	p.Load = 1.5
	c := comparison{
		name:     "biased estimates",
		text:     "Senders of live work overestimate its tokens by several times.",
		scenario: p,
		columns:  []string{columnGood, columnLive, columnLong, columnTokens, columnShort, columnWasted},
	}
	for _, x := range []float64{0.5, 1, 2, 4, 40} {
		c.variants = append(c.variants, variant{fmt.Sprintf("expected %g times", x), func(p *lbsim.Scenario) { p.EstimateBias = x }})
	}
	return c
}

func retryAfter() comparison {
	p := baseScenario()
	p.Load = 1.3
	p.MaxResubmits = 2
	p.Duration = 30 * time.Minute
	p.Admit = false
	return comparison{
		name:     "retry-after",
		text:     "Refused callers resubmit at most twice, at the Retry-After time, or after 1 s without one.",
		scenario: p,
		columns:  []string{columnGood, columnLive, columnReturned, columnAttempts, columnWasted},
		variants: []variant{
			{"bounded, after 1 s", func(p *lbsim.Scenario) { p.Queue = "bounded" }},
			{"lavendermux, after 1 s", func(p *lbsim.Scenario) { p.IgnoreRetryAfter = true }},
			{"lavendermux, when told", func(*lbsim.Scenario) {}},
		},
	}
}

func liveReserves() comparison {
	p := baseScenario()
	p.Load = 1.5
	p.LiveShare, p.LongShare, p.LengthByKind = 0.7, 0.3, true
	p.Admit = false
	var variants []variant
	for _, x := range []float64{0, 0.1, 0.25, 0.375, 0.5} {
		variants = append(variants, variant{fmt.Sprintf("reserve %g", x), func(p *lbsim.Scenario) { p.LiveReserve = x }})
	}
	return comparison{
		name:     "reserve for live work",
		text:     "Rollouts of half a minute exceed the capacity; live work is short and 16% of the load.",
		scenario: p,
		columns:  []string{columnGood, columnLive, columnShort, columnShortMedian, columnTokens, columnWasted},
		variants: variants,
	}
}

func poolMinimums() comparison {
	p := baseScenario()
	p.Load, p.LiveShare, p.LongShare = 2, 0, 0.5
	p.Heavy, p.HeavyShare = 2, 0.9
	c := comparison{
		name:     "minimum for a pool",
		text:     "Rollouts only; one pool sends nine tenths of twice the capacity, the other 20% of it (1.6 of 8 slots).",
		scenario: p,
		columns:  []string{columnGood, columnLight, columnWorst, columnTokens, columnWasted},
	}
	for _, n := range []int{0, 1, 2, 3} {
		c.variants = append(c.variants,
			variant{fmt.Sprintf("minimum %d, no fairness", n), func(p *lbsim.Scenario) { p.PoolMinimum, p.Admit = n, false }},
			variant{fmt.Sprintf("minimum %d, fairness", n), func(p *lbsim.Scenario) { p.PoolMinimum = n }})
	}
	return c
}

func fairness() []comparison {
	var all []comparison
	for _, load := range []float64{1.5, 2, 4} {
		p := baseScenario()
		p.Load = load
		p.Heavy = 2
		p.LiveShare = 1
		p.HeavyShare = 0.8
		all = append(all, comparison{
			name:     fmt.Sprintf("few callers at load %g", load),
			text:     "Two of twenty callers send four fifths of the load.",
			scenario: p,
			columns:  []string{columnGood, columnLive, columnWorst, columnLight, columnTokens, columnShort, columnWasted},
			variants: []variant{
				{"fcfs, no limit", func(p *lbsim.Scenario) { p.Queue, p.Admit = "fcfs", false }},
				{"no fairness", func(p *lbsim.Scenario) { p.Admit = false }},
				{"lavendermux", func(*lbsim.Scenario) {}},
				admitVariant("penalty 0.25", admit.WithPenalty(0.25)),
				admitVariant("penalty 1", admit.WithPenalty(1)),
				admitVariant("penalty 2", admit.WithPenalty(2)),
				admitVariant("memory 10 s", admit.WithTimeConstant(10*time.Second)),
				admitVariant("memory 60 s", admit.WithTimeConstant(60*time.Second)),
			},
		})
	}
	return all
}

func admitVariant(name string, opt ...admit.Option) variant {
	return variant{name, func(p *lbsim.Scenario) { p.AdmitOptions = opt }}
}

func bursts() comparison {
	p := baseScenario()
	p.Load = 0.7
	p.BurstFactor = 4
	p.Duration = 480 * time.Second
	p.MaxResubmits = 3
	return comparison{
		name:     "burst",
		text:     "Four times the load for two minutes; refused or late callers resubmit three times.",
		scenario: p,
		columns:  []string{columnGood, columnLive, columnShort, columnWasted, columnRecovery, columnAttempts, columnReturned},
		variants: []variant{
			{"fcfs, retry always", func(p *lbsim.Scenario) { p.Queue, p.Retry, p.Admit = "fcfs", "always", false }},
			{"bounded, retry always", func(p *lbsim.Scenario) { p.Queue, p.Retry, p.Admit = "bounded", "always", false }},
			{"bounded, budget", func(p *lbsim.Scenario) { p.Queue, p.Admit = "bounded", false }},
			{"lavendermux, retry always", func(p *lbsim.Scenario) { p.Retry = "always" }},
			{"lavendermux", func(*lbsim.Scenario) {}},
		},
	}
}

func routeVariants() []variant {
	var variants []variant
	for _, r := range []string{"random", "roundRobin", "least"} {
		variants = append(variants, variant{r, func(p *lbsim.Scenario) { p.Route = r }})
	}
	return append(variants, variant{product, func(*lbsim.Scenario) {}})
}

func routes() comparison {
	p := baseScenario()
	p.Load = 0.95
	p.Admit = false
	return comparison{
		name:     "route, today's size",
		text:     "Three entries and ten sidecars, near the capacity.",
		scenario: p,
		columns:  []string{columnGood, columnLive, columnShort, columnShortMedian, columnImbalance, columnAttempts},
		variants: routeVariants(),
	}
}

func staleLoad() comparison {
	p := baseScenario()
	p.Entries, p.Sidecars, p.Slots, p.SubsetSize = 50, 100, 8, 24
	p.DataCentres = 1
	p.Load = 0.95
	p.Duration = 300 * time.Second
	p.Admit = false
	return comparison{
		name:     "route, lagging load",
		text:     "Fifty entries and a hundred sidecars, each entry with a subset of 24: its load information is seconds old.",
		scenario: p,
		columns:  []string{columnGood, columnLive, columnShort, columnShortMedian, columnImbalance, columnAttempts},
		variants: routeVariants(),
	}
}

func staleLoadUnsubset() comparison {
	c := staleLoad()
	c.name = "route, lagging load, all doors"
	c.text = "The same, each entry with all sidecars."
	c.scenario.SubsetSize = 0
	return c
}

func prefixAffinity(n int) comparison {
	p := baseScenario()
	p.Load = 0.8
	p.Admit = false
	p.PrefixCount, p.CacheSize, p.PrefillTime = n, max(n/10, 1), 2*time.Second
	variants := []variant{
		{"random", func(p *lbsim.Scenario) { p.Route = "random" }},
		{"least loaded", func(p *lbsim.Scenario) { p.RouteOptions = []route.Option{route.WithLoadBound(-1)} }},
	}
	for _, x := range []float64{1, 1.25, 1.5, 2, 4, 1000} {
		variants = append(variants, variant{fmt.Sprintf("lavendermux, bound %g", x), func(p *lbsim.Scenario) {
			p.RouteOptions = []route.Option{route.WithLoadBound(x)}
		}})
	}
	return comparison{
		name: fmt.Sprintf("prefix affinity, %d prefixes", n),
		text: fmt.Sprintf("The k-th prefix is requested in proportion to 1/k; a sidecar caches %d; a miss costs 2 s of a slot.",
			p.CacheSize),
		scenario: p,
		columns:  []string{columnGood, columnLive, columnShort, columnShortMedian, columnHits, columnImbalance},
		variants: variants,
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

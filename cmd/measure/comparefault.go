package main

import (
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/eject"
	"github.com/lavendermux/lavendermux/lbsim"
	"github.com/lavendermux/lavendermux/retry"
)

// faults are slow and failing endpoints, from half of the scenario on.
func faults() []comparison {
	slow := baseScenario()
	slow.Load, slow.SlowCount, slow.SlowSpeed = 0.7, 1, 0.1
	fail := baseScenario()
	fail.Load, fail.FailingCount = 0.7, 1
	most := baseScenario()
	most.Load, most.FailingCount = 0.3, 6
	poison := baseScenario()
	poison.Load, poison.FailShare = 2, 0.6
	short := slow
	short.LongShare, short.LiveShare = 0, 1
	columns := []string{columnGood, columnLive, columnShort, columnWasted, columnAttempts}
	return []comparison{
		{
			name: "eject, one slow door", text: "One sidecar of ten becomes ten times slower.",
			scenario: slow, columns: columns, variants: ejectVariants(),
		},
		{
			name: "eject, one slow door, short work", text: "One sidecar of ten becomes ten times slower; all work is short.",
			scenario: short, columns: columns, variants: ejectVariants(),
		},
		{
			name: "eject, one failing door", text: "One sidecar of ten fails all work at once.",
			scenario: fail, columns: columns, variants: ejectVariants(),
		},
		{
			name: "eject, six failing doors", text: "Six sidecars of ten fail all work at once, at a third of the load.",
			scenario: most, columns: columns, variants: ejectVariants(),
		},
		{
			name: "eject, requests that fail everywhere", text: "Six of ten requests fail at once on every sidecar, at twice the load; 40% is all there is to gain.",
			scenario: poison, columns: columns, variants: ejectVariants(),
		},
	}
}

func ejectVariants() []variant {
	variants := []variant{
		{"random", func(p *lbsim.Scenario) { p.Route = "random" }},
		{"none set aside", func(p *lbsim.Scenario) { p.Eject = false }},
		{"lavendermux", func(*lbsim.Scenario) {}},
	}
	for _, n := range []int{1, 2, 5} {
		variants = append(variants, ejectVariant(fmt.Sprintf("failures %d", n), eject.WithConsecutiveFailures(n)))
	}
	for _, x := range []float64{0.2, 0.34, 0.5, 0.7, 0.9} {
		variants = append(variants, ejectVariant(fmt.Sprintf("share %g", x), eject.WithMaxShare(x)))
	}
	return append(variants,
		ejectVariant("rest 1 s", eject.WithDuration(time.Second, time.Minute)),
		ejectVariant("rest 8 s", eject.WithDuration(8*time.Second, time.Minute)))
}

func ejectVariant(name string, opt eject.Option) variant {
	return variant{name, func(p *lbsim.Scenario) { p.EjectOptions = []eject.Option{opt} }}
}

func subsets() comparison {
	p := baseScenario()
	p.Entries, p.Sidecars, p.Slots, p.DataCentres = 50, 100, 8, 1
	p.Load = 0.9
	p.Duration = 300 * time.Second
	p.Admit = false
	var variants []variant
	variants = append(variants, variant{"all", func(*lbsim.Scenario) {}})
	for _, n := range []int{8, 12, 16, 24, 32} {
		variants = append(variants,
			variant{fmt.Sprintf("random %d", n), func(p *lbsim.Scenario) { p.SubsetSize, p.SubsetPolicy = n, "random" }},
			variant{fmt.Sprintf("lavendermux %d", n), func(p *lbsim.Scenario) { p.SubsetSize = n }})
	}
	return comparison{
		name:     "subset",
		text:     "Fifty entries and a hundred sidecars of one data centre.",
		scenario: p,
		columns:  []string{columnGood, columnLive, columnShort, columnShortMedian, columnImbalance, columnAttempts},
		variants: variants,
	}
}

func retries() comparison {
	p := baseScenario()
	p.Load = 0.6
	p.FailingCount = 3
	p.Eject = false
	variants := []variant{
		{"none", func(p *lbsim.Scenario) { p.Retry = "none" }},
		{"always", func(p *lbsim.Scenario) { p.Retry = "always" }},
		{"lavendermux", func(*lbsim.Scenario) {}},
	}
	for _, x := range []float64{0.05, 0.2, 0.5} {
		variants = append(variants, variant{fmt.Sprintf("share %g", x), func(p *lbsim.Scenario) {
			p.RetryOptions = []retry.Option{retry.WithRatio(x)}
		}})
	}
	variants = append(variants,
		variant{"always, with eject", func(p *lbsim.Scenario) { p.Retry, p.Eject = "always", true }},
		variant{"lavendermux, with eject", func(p *lbsim.Scenario) { p.Eject = true }})
	return comparison{
		name:     "retry",
		text:     "Three sidecars of ten fail all work at once; a fifth of the work is not idempotent.",
		scenario: p,
		columns:  []string{columnGood, columnLive, columnShort, columnAttempts, columnDuplicates},
		variants: variants,
	}
}

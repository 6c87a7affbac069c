package main

import (
	"time"

	"github.com/lavendermux/lavendermux/claim"
	"github.com/lavendermux/lavendermux/move"
	"github.com/lavendermux/lavendermux/shift"
	"github.com/lavendermux/lavendermux/stat"
	"github.com/lavendermux/lavendermux/surge"
)

type rolesCase struct {
	name string
	// minimum and guarantee keep those of the claims. Without them a role may be
	// reduced to one worker, or may take back as many workers as it wants.
	minimum, guarantee, static bool
	opts                       []shift.Option
}

// simulateRoles simulates live load and the rollouts of two pools sharing 100 workers.
func simulateRoles(seeds int) {
	cases := []rolesCase{
		{name: "static split", static: true},
		{name: "plain priority"},
		{name: "priority and minimum", minimum: true},
		{name: "priority, minimum and guarantee", minimum: true, guarantee: true},
		{name: "the same, cost 0 s", minimum: true, guarantee: true, opts: []shift.Option{shift.WithMoveCost(0)}},
		{name: "the same, cost 5 s", minimum: true, guarantee: true, opts: []shift.Option{shift.WithMoveCost(5 * time.Second)}},
		{name: "the same, cost 20 s", minimum: true, guarantee: true, opts: []shift.Option{shift.WithMoveCost(20 * time.Second)}},
		{name: "the same, cost 40 s", minimum: true, guarantee: true, opts: []shift.Option{shift.WithMoveCost(40 * time.Second)}},
		{name: "the same, room 1", minimum: true, guarantee: true, opts: []shift.Option{shift.WithHeadroom(1)}},
		{name: "the same, room 1.4", minimum: true, guarantee: true, opts: []shift.Option{shift.WithHeadroom(1.4)}},
	}
	t := newTable("bursts", "way", "live p99 s", "live short", "first pool done", "first pool short", "second pool done", "second pool short", "moves an hour", "live recovers s")
	for _, height := range []float64{2, 4} {
		for _, c := range cases {
			runs := runSeeds(seeds, func(seed uint64) [8]float64 { return rolesOnce(c, height, seed) })
			var s [8]stat.Series
			for _, r := range runs {
				for i, v := range r {
					s[i].Add(v)
				}
			}
			bursts := "live x2"
			if height > 2 {
				bursts = "live x4"
			}
			t.add([]string{bursts, c.name}, &s[0], &s[1], &s[2], &s[3], &s[4], &s[5], &s[6], &s[7])
		}
	}
	t.print()
}

func rolesOnce(c rolesCase, height float64, seed uint64) [8]float64 {
	scenario := &surge.Scenario{Duration: 2 * time.Hour, MoveTime: 10 * time.Second}
	claims := []claim.Claim{
		{Name: "live", Priority: 3, MinWorkers: 15, GuaranteedWorkers: 60, Workers: 40},
		{Name: "first", Priority: 2, MinWorkers: 10, GuaranteedWorkers: 30, Workers: 30},
		{Name: "second", Priority: 1, MinWorkers: 10, GuaranteedWorkers: 30, Workers: 30},
	}
	loads := []float64{25, 25, 25}
	bursts := []float64{4, 4, 2}
	heights := []float64{height, 2, 2}
	for i := range claims {
		scenario.AddRole(claims[i], loads[i], bursts[i], heights[i])
	}
	if !c.static {
		p := shift.New(c.opts...)
		scenario.Plan = func(claims []claim.Claim, now time.Time) []move.Move {
			for i := range claims {
				if !c.minimum {
					claims[i].MinWorkers = 1
				}
				if !c.guarantee {
					claims[i].GuaranteedWorkers = 100
				}
			}
			return p.Plan(claims, now)
		}
	}
	r := scenario.Run(seed)
	hours := scenario.Duration.Hours()
	return [8]float64{
		r.WaitP99[0], r.ShortShare[0], r.DoneShare[1], r.ShortShare[1], r.DoneShare[2], r.ShortShare[2], float64(r.Moves) / hours,
		r.RecoverySeconds[0],
	}
}

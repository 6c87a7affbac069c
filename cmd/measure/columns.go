package main

import (
	"slices"

	"github.com/lavendermux/lavendermux/lbsim"
	"github.com/lavendermux/lavendermux/score"
)

const (
	columnGood        = "in time %"
	columnLive        = "live in time %"
	columnLong        = "live long in time %"
	columnTokens      = "good tokens % of capacity"
	columnShort       = "p99 short s"
	columnShortMedian = "p50 short s"
	columnWorst       = "worst caller in time %"
	columnLight       = "light callers in time %"
	columnWasted      = "wasted tokens %"
	columnRefusal     = "refused after p99 % of time"
	columnRefusalMean = "refused after mean %"
	columnRecovery    = "recovery s"
	columnAttempts    = "copies each"
	columnHits        = "prefix hits %"
	columnReturned    = "came back and served %"
	columnImbalance   = "busiest door by mean"
	columnDuplicates  = "doubled"
)

// columns computes each figure from a score.
var columns = map[string]func(*score.Score, *lbsim.Scenario) float64{
	columnGood:        func(s *score.Score, _ *lbsim.Scenario) float64 { return percent(s.Good, s.Offered) },
	columnLive:        func(s *score.Score, _ *lbsim.Scenario) float64 { return percent(s.LiveGood, s.LiveOffered) },
	columnLong:        func(s *score.Score, _ *lbsim.Scenario) float64 { return percent(s.LongGood, s.LongOffered) },
	columnShort:       func(s *score.Score, _ *lbsim.Scenario) float64 { return s.ShortLatency.Quantile(0.99) },
	columnShortMedian: func(s *score.Score, _ *lbsim.Scenario) float64 { return s.ShortLatency.Quantile(0.5) },
	columnWorst:       func(s *score.Score, _ *lbsim.Scenario) float64 { return 100 * s.WorstCaller() },
	columnLight:       func(s *score.Score, _ *lbsim.Scenario) float64 { return 100 * s.SuccessRate("caller-") },
	columnRefusal:     func(s *score.Score, _ *lbsim.Scenario) float64 { return 100 * s.RefusalDelay.Quantile(0.99) },
	columnRefusalMean: func(s *score.Score, _ *lbsim.Scenario) float64 { return 100 * s.RefusalDelay.Mean() },
	columnAttempts:    func(s *score.Score, _ *lbsim.Scenario) float64 { return float64(s.Attempts) / float64(s.Offered) },
	columnHits:        func(s *score.Score, _ *lbsim.Scenario) float64 { return 100 * s.CacheHits.Mean() },
	columnReturned:    func(s *score.Score, _ *lbsim.Scenario) float64 { return percent(s.ReturnedServed, s.Returned) },
	columnDuplicates:  func(s *score.Score, _ *lbsim.Scenario) float64 { return float64(s.DuplicateRuns) },
	columnTokens: func(s *score.Score, p *lbsim.Scenario) float64 {
		return 100 * float64(s.GoodTokens) / (float64(p.Sidecars*p.Slots*lbsim.TokensPerSecond) * p.Duration.Seconds())
	},
	columnWasted: func(s *score.Score, _ *lbsim.Scenario) float64 {
		return 100 * (1 - float64(s.GoodTokens)/float64(max(s.GeneratedTokens, 1)))
	},
	columnRecovery: func(s *score.Score, p *lbsim.Scenario) float64 {
		return s.RecoveryTime(p.Duration/4, p.Duration/2).Seconds()
	},
	columnImbalance: func(s *score.Score, _ *lbsim.Scenario) float64 {
		sum := int64(0)
		for _, b := range s.TokensBySidecar {
			sum += b
		}
		return float64(slices.Max(s.TokensBySidecar)) * float64(len(s.TokensBySidecar)) / float64(max(sum, 1))
	},
}

func percent(a, b int) float64 {
	return 100 * float64(a) / float64(max(b, 1))
}

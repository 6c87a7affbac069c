package main

import (
	"context"
	"time"

	"github.com/lavendermux/lavendermux/sims/simeng"
	"github.com/lavendermux/lavendermux/sims/simkv"
	"github.com/lavendermux/lavendermux/sims/simlst"
	"github.com/lavendermux/lavendermux/sims/simscr"
	"github.com/lavendermux/lavendermux/sims/simsvc"
	"github.com/lavendermux/lavendermux/sims/simwts"
)

type (
	kvCommand struct {
		Listen    string        `default:"127.0.0.1:7000" help:"Address to serve at."`
		WriteRate float64       `default:"300" help:"Maximum writes per second."`
		ReadRate  float64       `default:"2000" help:"Maximum reads and watches per second."`
		History   int           `default:"10000" help:"Changes retained for watches."`
		Latency   time.Duration `default:"2ms" help:"Latency of a call."`
	}

	engineCommand struct {
		Listen      string            `default:"127.0.0.1:7100" help:"Address to serve at."`
		Model       map[string]string `help:"Models and their initial versions: draft=1."`
		Role        string            `default:"rollout" enum:"rollout,live" help:"Initial role."`
		Seed        uint64            `help:"Random seed of answer lengths and event losses."`
		Slots       int               `default:"16" help:"Maximum concurrent streams."`
		Queue       int               `default:"256" help:"Maximum waiting requests."`
		Preempt     bool              `help:"Let requests preempt those of lower priority."`
		StreamRate  float64           `default:"60" help:"Maximum tokens per second of a stream."`
		TotalRate   float64           `default:"600" help:"Tokens per second of all streams."`
		PrefillRate float64           `default:"8000" help:"Prefill tokens per second."`
		Tick        time.Duration     `default:"50ms" help:"Interval between events of a stream."`
		MinLength   float64           `default:"40" help:"Minimum length of an answer, in tokens."`
		Tail        float64           `default:"1.5" help:"Tail exponent of the Pareto distribution of lengths."`
		CacheBlocks int               `default:"4096" help:"Blocks of 64 bytes in the prefix cache."`
		StageTime   time.Duration     `default:"200ms" help:"Staging time in addition to the transfer."`
		SwitchTime  time.Duration     `default:"300ms" help:"Pause of streams during a switch."`
		LoadLag     time.Duration     `default:"1s" help:"Age of the reported load."`
		EventLag    time.Duration     `default:"2s" help:"Delay of cache events."`
		EventLoss   float64           `default:"0.05" help:"Fraction of cache events that are lost."`
		Memory      int               `help:"Versions of a model that fit in memory; 0: no limit."`
		Weights     string            `help:"URL of the weight store; empty: staging fetches nothing."`
		IgnoreFence bool              `help:"Accept orders with stale fencing tokens."`
		Silent      bool              `help:"Omit the weight version from events."`
	}

	weightsCommand struct {
		Listen string  `default:"127.0.0.1:7002" help:"Address to serve at."`
		Rate   float64 `default:"1e9" help:"Bytes per second of all transfers."`
	}

	instancesCommand struct {
		Listen string        `default:"127.0.0.1:7001" help:"Address to serve at."`
		Lag    time.Duration `default:"3s" help:"Time until a change is visible."`
	}

	serviceCommand struct {
		Listen string        `default:"127.0.0.1:7300" help:"Address to serve at."`
		Delay  time.Duration `default:"5ms" help:"Processing time of a request."`
	}

	scorerCommand struct {
		Listen string        `default:"127.0.0.1:7200" help:"Address to serve at."`
		Delay  time.Duration `default:"5ms" help:"Processing time of a score."`
	}
)

// Run serves the key-value service.
func (c *kvCommand) Run(ctx context.Context) error {
	kv := simkv.New(
		simkv.WithRates(c.WriteRate, c.ReadRate),
		simkv.WithHistory(c.History),
		simkv.WithLatency(c.Latency),
	)
	return serve(ctx, "kv", c.Listen, kv)
}

// Run serves the model engine.
func (c *engineCommand) Run(ctx context.Context) error {
	opts := []simeng.Option{
		simeng.WithRole(c.Role),
		simeng.WithSeed(c.Seed),
		simeng.WithSlots(c.Slots, c.Queue),
		simeng.WithRates(c.StreamRate, c.TotalRate, c.PrefillRate),
		simeng.WithTick(c.Tick),
		simeng.WithLength(c.MinLength, c.Tail),
		simeng.WithCacheBlocks(c.CacheBlocks),
		simeng.WithOrderTimes(c.StageTime, c.SwitchTime),
		simeng.WithLag(c.LoadLag, c.EventLag, c.EventLoss),
		simeng.WithMaxVersions(c.Memory),
		simeng.WithWeights(c.Weights),
	}
	for model, version := range c.Model {
		opts = append(opts, simeng.WithModel(model, version))
	}
	if c.Preempt {
		opts = append(opts, simeng.WithPreemption())
	}
	if c.IgnoreFence {
		opts = append(opts, simeng.WithoutFence())
	}
	if c.Silent {
		opts = append(opts, simeng.WithoutVersions())
	}
	return serve(ctx, "engine", c.Listen, simeng.New(opts...))
}

// Run serves the weight store.
func (c *weightsCommand) Run(ctx context.Context) error {
	return serve(ctx, "weights", c.Listen, simwts.New(simwts.WithRate(c.Rate)))
}

// Run serves the instance list.
func (c *instancesCommand) Run(ctx context.Context) error {
	return serve(ctx, "instances", c.Listen, simlst.New(simlst.WithLag(c.Lag)))
}

// Run serves the plain service.
func (c *serviceCommand) Run(ctx context.Context) error {
	return serve(ctx, "service", c.Listen, simsvc.New(simsvc.WithDelay(c.Delay)))
}

// Run serves the scorer.
func (c *scorerCommand) Run(ctx context.Context) error {
	return serve(ctx, "scorer", c.Listen, simscr.New(simscr.WithDelay(c.Delay)))
}

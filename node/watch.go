package node

import (
	"context"
	"time"

	"github.com/lavendermux/lavendermux/cpulag"
	"github.com/lavendermux/lavendermux/sleep"
)

// watchCPULag sheds load while this process gets too little CPU time.
func (n *Node) watchCPULag(ctx context.Context) {
	for {
		start := time.Now()
		if !sleep.For(ctx, cpulag.SampleInterval) {
			return
		}
		now := time.Now()
		if !n.cpuLag.Observe(now.Sub(start)-cpulag.SampleInterval, now) {
			continue
		}
		n.logger.Warn("CPU strain changed.", "strained", n.cpuLag.Strained(), "late", n.cpuLag.MeanLag().Round(time.Millisecond), "holding", len(n.runner.Holding()))
		if n.cpuLag.Strained() {
			go n.router.ShedLoad(ctx)
		}
	}
}

package mesh

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestZZ(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("ZZN"))
	if n == 0 {
		t.Skip()
	}
	withDeployment(t, n, func(d *deployment) {
		fmt.Printf("n=%d start 2s: calls %d bytes %d (each %d)\n", n, d.calls.Load(), d.bytes.Load(), d.bytes.Load()/int64(n))
		time.Sleep(3 * time.Second)
		c, b := d.calls.Load(), d.bytes.Load()
		time.Sleep(5 * time.Second)
		fmt.Printf("calm: each per s calls %.1f bytes %.0f\n", float64(d.calls.Load()-c)/5/float64(n), float64(d.bytes.Load()-b)/5/float64(n))
		c, b = d.calls.Load(), d.bytes.Load()
		for i := range 15 {
			d.members[i].hold(fmt.Sprint("b", i))
			time.Sleep(333 * time.Millisecond)
		}
		fmt.Printf("3 changes/s: each per s calls %.1f bytes %.0f\n", float64(d.calls.Load()-c)/5/float64(n), float64(d.bytes.Load()-b)/5/float64(n))
	})
}

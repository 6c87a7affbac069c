package follow

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/logs"
)

// quiet is a store in which nothing changes; away makes its calls hang.
type quiet struct {
	away  bool
	calls int
}

func (q *quiet) List(context.Context, string) ([]kvst.Item, int64, error) {
	return []kvst.Item{{Key: "p/a", Revision: 3}}, 5, nil
}

func (q *quiet) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (kvst.Changes, error) {
	q.calls++
	if q.away {
		wait += 700 * time.Millisecond
	}
	select {
	case <-ctx.Done():
		return kvst.Changes{}, ctx.Err()
	case <-time.After(wait):
	}
	if q.away {
		return kvst.Changes{}, &kvst.UnknownError{Cause: errors.New("no answer")}
	}
	return kvst.Changes{Revision: after}, nil
}

// Nothing changes for a minute. A watch that was answered at the end of its wait
// vouches for the time of the answer; taking the time of the question, a reader
// would look cut off from the store every few seconds, and its followers would
// leave it. A store that hangs shows by the age within one wait.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := &quiet{}
		f := New(q, "p/", logs.New(io.Discard))
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(f.Age()).To(BeNumerically("<=", defaultWait+10*time.Millisecond))
		}
		g.Expect(q.calls).To(BeNumerically("<", 40))
		q.away = true
		time.Sleep(2*defaultWait + time.Second)
		g.Expect(f.Age()).To(BeNumerically(">", defaultWait+700*time.Millisecond))
		cancel()
		time.Sleep(time.Minute)
	})
}

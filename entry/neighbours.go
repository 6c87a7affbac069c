package entry

import (
	"net/http"
	"time"

	"github.com/lavendermux/lavendermux/mesh"
)

// gossipPoll is the time between two questions to another entry about requests under which
// endpoints ended: an entry that was cut off, or has just started, knows of them soon after.
const gossipPoll = time.Second

// neighbours are the entries that this one can tell something.
type neighbours struct {
	entry *Entry
}

// Self is this entry.
func (n *neighbours) Self() mesh.Node {
	return mesh.Node{Name: n.entry.cfg.Instance, Addr: n.entry.cfg.PeerListen}
}

// Alive returns the other entries that are there to stay.
func (n *neighbours) Alive() []mesh.Node {
	var out []mesh.Node
	for _, e := range n.entry.view.Entries() {
		if e.GetInstance() != n.entry.cfg.Instance && !e.GetLeaving() && !e.GetGone() {
			out = append(out, mesh.Node{Name: e.GetInstance(), Addr: e.GetAddress()})
		}
	}
	return out
}

// Client reaches them.
func (n *neighbours) Client() *http.Client { return n.entry.net.Peers() }

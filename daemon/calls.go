package daemon

import (
	"sync"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/ring"
)

// calls connects the caller API to the decision loop. It tracks the open calls.
type calls struct {
	inbox *ring.Ring[input]

	mu   sync.Mutex
	last core.CallID
	open map[core.CallID]chan *peerpb.QueryReply
}

func newCalls(inbox *ring.Ring[input]) *calls {
	return &calls{inbox: inbox, open: map[core.CallID]chan *peerpb.QueryReply{}}
}

// Submit opens a call. It is refused if the inbox is full.
func (c *calls) Submit(q *peerpb.Query) (core.CallID, <-chan *peerpb.QueryReply, *core.Error) {
	replies := make(chan *peerpb.QueryReply, 1)
	c.mu.Lock()
	c.last++
	id := c.last
	c.open[id] = replies
	c.mu.Unlock()
	if !c.inbox.Put(input{event: core.CallerRequest{Call: id, Query: q}}) {
		c.remove(id)
		return 0, nil, core.Errorf(core.Overloaded, "too many events wait at this host")
	}
	return id, replies, nil
}

// Gone reports that a caller has disconnected. It does nothing if the core has
// already answered the call.
func (c *calls) Gone(id core.CallID) {
	if c.remove(id) != nil {
		c.inbox.PutWait(input{event: core.CallerGone{Call: id}})
	}
}

// answer delivers the reply to a call.
func (c *calls) answer(id core.CallID, reply *peerpb.QueryReply) {
	if replies := c.remove(id); replies != nil {
		replies <- reply // never blocks: the buffer holds the only reply
	}
}

func (c *calls) remove(id core.CallID) chan *peerpb.QueryReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	replies := c.open[id]
	delete(c.open, id)
	return replies
}

func (c *calls) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

package pool

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

var _ heap.Interface = &serviceOrder{}

// serviceOrder walks through the waiters of a queue in the order in which they are served
// if each request takes the same time and none arrives.
type serviceOrder struct {
	// ahead is the number of waiters passed that may begin now, and of those removed.
	ahead int
	// flows are the flows with waiters that were not passed, as a heap.
	flows []*flowCursor
	// passed are the flows whose waiters were all passed.
	passed []*flowCursor
}

// flowCursor is the position in one flow.
type flowCursor struct {
	// charged is the charge of the workspace after the waiters passed, and cost is what
	// the last one of them that may begin adds to it.
	charged, cost time.Duration
	flow          *flow
	index         int
	workspace     fleet.WorkspaceID
}

// newServiceOrder returns the order of a queue. The service is the time of a request.
func newServiceOrder(q *queue, service time.Duration) *serviceOrder {
	o := &serviceOrder{}
	for workspace, f := range q.flows {
		if len(f.waiters) > 0 {
			o.flows = append(o.flows, &flowCursor{charged: f.charged, cost: service, flow: f, workspace: workspace})
		}
	}
	heap.Init(o)
	return o
}

// first returns the next waiter and its flow. There must be one.
func (o *serviceOrder) first() (*waiter, *flow) {
	c := o.flows[0]
	return c.flow.waiters[c.index], c.flow
}

// pass moves on from the first waiter. The cost is what it adds to the charge of its
// workspace, or zero if it may not begin now.
func (o *serviceOrder) pass(cost time.Duration) {
	c := o.flows[0]
	c.index++
	if cost > 0 {
		o.ahead++
		c.charged += cost
		c.cost = cost
	}
	o.fix()
}

// removed moves on after the first waiter was removed from its flow. It counts as ahead of
// the others.
func (o *serviceOrder) removed() {
	o.ahead++
	o.fix()
}

// fix restores the order after the first waiter was passed or removed from its flow.
func (o *serviceOrder) fix() {
	if c := o.flows[0]; c.index >= len(c.flow.waiters) {
		o.passed = append(o.passed, c)
		heap.Pop(o)
		return
	}
	heap.Fix(o, 0)
}

// arriving returns how many requests that arrive later go before the first waiter, if so
// many arrive for each workspace.
func (o *serviceOrder) arriving(arrivals float64) float64 {
	own, total := o.flows[0], 0.0
	add := func(c *flowCursor) {
		if c != own && c.charged < own.charged {
			total += min(float64((own.charged-c.charged)/max(c.cost, 1)), arrivals)
		}
	}
	for _, c := range o.passed {
		add(c)
	}
	for _, c := range o.flows {
		add(c)
	}
	return total
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (o *serviceOrder) Len() int { return len(o.flows) }

func (o *serviceOrder) Less(i, j int) bool {
	a, b := o.flows[i], o.flows[j]
	first, second := a.flow.waiters[a.index], b.flow.waiters[b.index]
	return cmp.Or(cmp.Compare(first.priority, second.priority), cmp.Compare(a.charged, b.charged),
		first.deadline.Compare(second.deadline), cmp.Compare(a.workspace, b.workspace)) < 0
}

func (o *serviceOrder) Swap(i, j int) { o.flows[i], o.flows[j] = o.flows[j], o.flows[i] }

func (o *serviceOrder) Push(c any) { o.flows = append(o.flows, c.(*flowCursor)) }

func (o *serviceOrder) Pop() any {
	last := o.flows[len(o.flows)-1]
	o.flows = o.flows[:len(o.flows)-1]
	return last
}

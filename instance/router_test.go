package instance_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/instance"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// changingControl is a group controller that returns s1 as the server, after
// storing a view in which s2 is the primary.
type changingControl struct {
	*group.Controller

	view *blackboard.Section[group.View]
}

func (c *changingControl) AwaitFresh(context.Context, group.ReadRequirement, group.ReplicaSelection, time.Duration) ([]fleet.ServerID, error) {
	c.view.Store(group.View{Primary: "s2"})
	return []fleet.ServerID{"s1"}, nil
}

func (c *changingControl) AwaitPrimary(context.Context) (fleet.ServerID, fleet.Term, error) {
	c.view.Store(group.View{Primary: "s2"})
	return "s1", 1, nil
}

// recordingPool records the requests for connections and refuses them.
type recordingPool struct {
	requests []backend.PoolRequest
}

func (p *recordingPool) Acquire(_ context.Context, _ time.Time, request backend.PoolRequest) (*backend.PoolLease, error) {
	p.requests = append(p.requests, request)
	return nil, &backend.Error{Op: "acquire", Kind: backend.KindQueueFull}
}

func (*recordingPool) Counts(fleet.ServerID) backend.Counts {
	return backend.Counts{}
}

// TestLeaseStaysPrimary guards against a commit that is acknowledged to the caller
// without proof that a majority has it. That happens when a server is chosen as
// primary but its connection is leased as a replica's, because the view of the
// group changed in between.
func TestLeaseStaysPrimary(t *testing.T) {
	published := sheet.Sheet{Workspaces: []sheet.Workspace{{Databases: []fleet.GroupID{testDatabase}, Workspace: testWorkspace}}}
	for _, access := range []caller.Access{caller.AccessRead, caller.AccessWrite} {
		t.Run(string(access), func(t *testing.T) {
			view := blackboard.New(group.View{Primary: "s1"})
			connections := &recordingPool{}
			router := instance.NewTestRouter(testDatabase, &changingControl{view: view}, connections, view, published)
			_, err := router.Acquire(context.Background(), caller.Request{
				Access:    access,
				Deadline:  time.Now().Add(testTimeout),
				Group:     testDatabase,
				Workspace: testWorkspace,
			})
			if err == nil {
				t.Fatal("Acquire succeeded, want the error of the pool")
			}
			want := []bool{true}
			var got []bool
			for _, request := range connections.requests {
				got = append(got, request.Primary)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("requests for a lease as primary (-want +got):\n%s", diff)
			}
		})
	}
}

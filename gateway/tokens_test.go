package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// limitSource has one workspace with a rate limit.
type limitSource struct{ emptySource }

func (limitSource) Sheet(map[string]feed.Row) (gateway.SheetUpdate, bool, error) {
	return gateway.SheetUpdate{Sheet: sheet.Sheet{Workspaces: []sheet.Workspace{{Burst: 100, Rate: 100, Workspace: "w"}}}, Version: 1}, true, nil
}

// ownersStore holds the rows of three instances that hold shares. All writes fail, so that
// the instance under test never holds any.
type ownersStore struct{}

func (s *ownersStore) Read(_ context.Context, table gateway.Table, _ []gateway.Partition) (feed.Snapshot, error) {
	snapshot := feed.Snapshot{Complete: true, Revision: 5, StoreTime: time.Hour}
	if table == sheetTable {
		snapshot.Rows = []feed.Row{{Key: "sheet", Revision: 4}}
	}
	for _, id := range []string{"o1", "o2", "o3"} {
		row, err := json.Marshal(gateway.MemberRow{Address: id, At: time.Hour, Epoch: 1, Phase: workspace.PhaseHolding})
		if err != nil {
			return snapshot, err
		}
		if table == instanceTable {
			snapshot.Rows = append(snapshot.Rows, feed.Row{Key: id, Revision: 4, Value: row})
		}
	}
	return snapshot, nil
}

func (s *ownersStore) Changes(_ context.Context, _ gateway.Table, after feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	time.Sleep(wait + time.Millisecond)
	return feed.Snapshot{Revision: after, StoreTime: time.Hour}, nil
}

func (s *ownersStore) Write(context.Context, []gateway.Write) (gateway.WriteResult, error) {
	return gateway.WriteResult{}, context.DeadlineExceeded
}

// ownersTransport answers requests for tokens after 3 ms, except those to silent owners.
type ownersTransport struct {
	calls  atomic.Int64
	mu     sync.Mutex
	silent map[string]bool
}

func (o *ownersTransport) Address() string { return "i" }
func (o *ownersTransport) Secret() []byte  { return nil }
func (o *ownersTransport) Serve(ctx context.Context, _ func([]byte) []byte) error {
	<-ctx.Done()
	return nil
}

func (o *ownersTransport) setSilent(owners ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, owner := range owners {
		o.silent[owner] = true
	}
}

func (o *ownersTransport) Call(ctx context.Context, address string, _, payload []byte) ([]byte, error) {
	var request gateway.PeerRequest
	if err := json.Unmarshal(payload, &request); err != nil || len(request.Takes) == 0 {
		return nil, err
	}
	o.calls.Add(1)
	o.mu.Lock()
	silent := o.silent[address]
	o.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(3 * time.Millisecond)
	var response gateway.PeerResponse
	for _, take := range request.Takes {
		response.Grants = append(response.Grants, workspace.TakeGrant{Taken: take.Want, Workspace: take.Workspace})
	}
	return json.Marshal(response)
}

// TestAdmitFromPools guards against an instance that holds no shares and refuses requests
// although owners of pools answer, against one call for each of many requests at the same
// moment, and against requests that wait for the timeouts of silent owners.
func TestAdmitFromPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &ownersTransport{silent: map[string]bool{}}
		recorder := event.New("i", 1, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
		g := gateway.New(gateway.Config{
			Clock: time.Now, Epoch: 8, Instance: "i", Log: gateway.NewLog(recorder, 1), PeerTransport: transport,
			Settings: gateway.Settings{KeyLease: time.Second}, Source: limitSource{}, Store: &ownersStore{},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = g.Run(ctx)
		}()
		time.Sleep(time.Second)
		admit := func() (*session.Error, time.Duration) {
			arrived := time.Now()
			err := g.Admit(arrived, session.Admission{Route: sheet.Route{TargetLatency: 200}, Workspace: fleet.WorkspaceID("w")})
			return err, time.Since(arrived)
		}
		var requests sync.WaitGroup
		for range 30 {
			requests.Go(func() {
				if err, took := admit(); err != nil || took > 10*time.Millisecond {
					t.Errorf("admitted after %v: %v", took, err)
				}
			})
		}
		requests.Wait()
		if calls := transport.calls.Load(); calls > 4 {
			t.Errorf("%d calls for 30 requests at the same moment, want at most 4", calls)
		}
		transport.setSilent("o1", "o2")
		for range 10 {
			if err, took := admit(); err != nil || took > 40*time.Millisecond {
				t.Errorf("admitted after %v with one owner that answers: %v", took, err)
			}
			time.Sleep(400 * time.Millisecond)
		}
		transport.setSilent("o3")
		for n := range 10 {
			err, took := admit()
			if err == nil || err.Reason != session.ReasonPoolSilent || err.RetryAfter <= 0 || took > 100*time.Millisecond || (n > 2 && took > 15*time.Millisecond) {
				t.Errorf("request %d refused after %v: %+v", n, took, err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		cancel()
		<-done
	})
}

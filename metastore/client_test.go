package metastore_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/standin"
)

func newClient(t *testing.T) (*standin.Platform, *metastore.Client, context.Context) {
	t.Helper()
	service := standin.NewPlatform()
	url, stop, err := service.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	httpClient := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(httpClient.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return service, metastore.NewClient(httpClient, url), ctx
}

// mustWrite writes rows and returns whether they were written.
func mustWrite(t *testing.T, ctx context.Context, c *metastore.Client, conditions []metastore.Condition, rows ...metastore.Row) bool {
	t.Helper()
	applied, _, err := c.Write(ctx, conditions, rows)
	if err != nil {
		t.Fatal(err)
	}
	return applied
}

// TestConditionalWrite guards against two concurrent conditional writes that are both
// applied, and against a rejected write that takes effect in part.
func TestConditionalWrite(t *testing.T) {
	_, c, ctx := newClient(t)
	absent := []metastore.Condition{{Key: "head"}}
	first := metastore.Row{Key: "head", Value: []byte("1")}
	if !mustWrite(t, ctx, c, absent, first, metastore.Row{Key: "sheet/1", Value: []byte("a")}) {
		t.Error("the first write was not applied")
	}
	if mustWrite(t, ctx, c, absent, metastore.Row{Key: "head", Value: []byte("2")}, metastore.Row{Key: "sheet/2"}) {
		t.Error("a write with an outdated condition was applied")
	}
	rows, err := c.ReadPrefix(ctx, "sheet/")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]metastore.Row{{Key: "sheet/1", Revision: 1, Value: []byte("a")}}, rows); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
	applied, after, err := c.Write(ctx, []metastore.Condition{{Key: "absent"}, {Key: "head", Revision: 1}}, []metastore.Row{{Key: "head", Value: []byte("3")}})
	if err != nil || !applied {
		t.Fatalf("Write() = %v, %v, want it applied", applied, err)
	}
	if diff := cmp.Diff([]metastore.Row{{Key: "absent"}, {Key: "head", Revision: 2, Value: []byte("3")}}, after); diff != "" {
		t.Errorf("rows after the write (-want +got):\n%s", diff)
	}
}

// TestLostAnswer guards against a stand-in platform that loses a write together with
// the response. Clients must find the write when they read the row back.
func TestLostAnswer(t *testing.T) {
	service, c, ctx := newClient(t)
	service.DropResponses(1)
	_, _, err := c.Write(ctx, nil, []metastore.Row{{Key: "head", Value: []byte("1")}})
	var platformErr *metastore.Error
	if !errors.As(err, &platformErr) || platformErr.Kind != metastore.KindUnavailable {
		t.Fatalf("Write() error = %v, want %s", err, metastore.KindUnavailable)
	}
	rows, err := c.Read(ctx, "head", "absent")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]metastore.Row{{Key: "head", Revision: 1, Value: []byte("1")}}, rows); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(standin.CallCounts{Reads: 1, Writes: 1}, service.Counts()); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
}

// TestOutage guards against calls that succeed or exceed their deadline in an outage,
// and against an outage that changes stored data.
func TestOutage(t *testing.T) {
	service, c, ctx := newClient(t)
	if err := c.Put(ctx, "object", []byte("content")); err != nil {
		t.Fatal(err)
	}
	service.SetOutage(standin.OutageFail)
	if err := c.Put(ctx, "object", nil); err == nil {
		t.Error("Put() succeeded during an outage")
	}
	service.SetOutage(standin.OutageHang)
	expired, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if _, _, err := c.Get(expired, "object"); err == nil {
		t.Error("Get() succeeded during an outage")
	}
	service.SetOutage(standin.OutageNone)
	content, found, err := c.Get(ctx, "object")
	if err != nil || !found {
		t.Fatalf("Get() = %v, %v, want the object", found, err)
	}
	if diff := cmp.Diff("content", string(content)); diff != "" {
		t.Errorf("content (-want +got):\n%s", diff)
	}
}

// TestInstanceListLags guards against a stand-in platform whose list of instances
// shows changes although it is frozen.
func TestInstanceListLags(t *testing.T) {
	service, c, ctx := newClient(t)
	a := metastore.Instance{DataCentre: "gt-1", ID: "a", PeerAddress: "127.0.0.1:1", State: metastore.InstanceLive}
	b := metastore.Instance{DataCentre: "gt-2", ID: "b", PeerAddress: "127.0.0.1:2", State: metastore.InstanceLeaving}
	list := func() []metastore.Instance {
		t.Helper()
		instances, err := c.Instances(ctx)
		if err != nil {
			t.Fatal(err)
		}
		return instances
	}
	service.AddInstance(a)
	service.FreezeInstances(true)
	service.AddInstance(b)
	if diff := cmp.Diff([]metastore.Instance{a}, list()); diff != "" {
		t.Errorf("frozen list (-want +got):\n%s", diff)
	}
	service.FreezeInstances(false)
	if diff := cmp.Diff([]metastore.Instance{a, b}, list()); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}
}

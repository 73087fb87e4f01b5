package owner_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// runner records the requests and returns a fixed response.
type runner struct {
	requests []owner.Request
	response owner.Response
}

func (r *runner) RunForPeer(request owner.Request) owner.Response {
	r.requests = append(r.requests, request)
	return r.response
}

func serve(t *testing.T, r *runner) (address string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(owner.NewServer([]byte("secret"), r).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestRun guards against fields of a request or response that are lost on the way
// between two instances, and against a caller that does not know the secret.
func TestRun(t *testing.T) {
	variables := map[string]string{"a": "1"}
	request := owner.Request{
		AuthorizedUntil: 3 * time.Hour,
		Batch: session.Batch{
			Authorization: session.Authorization{SheetVersion: 9},
			Commands:      []session.Command{{Statement: session.Statement{Arguments: "x 1", ID: "5c", Kind: session.StatementExecute, Name: "s1", Text: "EXECUTE s1 x 1"}}},
			Final:         true, Template: &session.Template{Body: "q", Write: true}, Variables: variables,
		},
		Call: "i-1-2", Deadline: time.Hour, Lease: "i-1-2",
		Requirements: &session.Requirements{
			Avoid: map[fleet.ServerID]bool{"s-1": true}, LastWrite: fleet.Position{Log: 7, Term: 2},
			Route:     sheet.Route{Consistency: sheet.ConsistencyBoundedAge, Group: "g", MaxAge: 1500, Priority: 2},
			Variables: variables, Workspace: "w", Write: true,
		},
		RequirementsDeadline: 2 * time.Hour,
	}
	r := &runner{response: owner.Response{
		Exclusive: true,
		Failure:   &session.RunError{Kind: session.KindLagging, RetryAfter: 300 * time.Millisecond, Saturated: true, Text: "too old"},
		Reply:     session.Reply{Position: fleet.Position{Log: 8, Term: 2}, Rows: []string{"a", "b"}, Signature: "7.1"},
		Server:    "s-2", Unavailable: true,
	}}
	address := serve(t, r)
	client := owner.NewClient(http.DefaultClient)
	got, err := client.Run(context.Background(), address, []byte("secret"), request)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r.response, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]owner.Request{request}, r.requests); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	_, err = client.Run(context.Background(), address, []byte("wrong"), request)
	var ownerErr *owner.Error
	if !errors.As(err, &ownerErr) || ownerErr.Kind != owner.KindNotSent || len(r.requests) != 1 {
		t.Errorf("with a wrong secret: error %v after %d requests, want kind NotSent after 1", err, len(r.requests))
	}
}

// TestNotSent guards against reporting that a request may have run although the
// instance could not be reached, and that it did not run although it was sent.
func TestNotSent(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(broken.Close)
	client := owner.NewClient(http.DefaultClient)
	for url, want := range map[string]owner.Kind{closed.URL: owner.KindNotSent, broken.URL: owner.KindUnknown} {
		_, err := client.Run(context.Background(), strings.TrimPrefix(url, "http://"), []byte("secret"), owner.Request{})
		var ownerErr *owner.Error
		if !errors.As(err, &ownerErr) || ownerErr.Kind != want {
			t.Errorf("error %v, want kind %s", err, want)
		}
	}
}

// candidates returns instances in three data centres, of which every tenth is large.
func candidates(count int) []owner.Candidate {
	var all []owner.Candidate
	for i := range count {
		candidate := owner.Candidate{DataCentre: fleet.DataCentre("d" + strconv.Itoa(i%3)), Instance: fleet.InstanceID("i" + strconv.Itoa(i)), ProcessorShare: 0.2}
		if i%10 == 0 {
			candidate.ProcessorShare = 0.8
		}
		all = append(all, candidate)
	}
	return all
}

// TestChoose guards against owners of one group that can be lost with one data centre,
// small owners beside large ones, and groups that change their owner although it is
// still there.
func TestChoose(t *testing.T) {
	all := candidates(60)
	byID := map[fleet.InstanceID]owner.Candidate{}
	for _, candidate := range all {
		byID[candidate.Instance] = candidate
	}
	for n := range 20 {
		group := fleet.GroupID("g" + strconv.Itoa(n))
		owners := owner.Choose(group, all)
		first, second := byID[owners[0]], byID[owners[1]]
		if first.DataCentre == second.DataCentre || first.ProcessorShare < 0.8 || second.ProcessorShare < 0.8 {
			t.Errorf("%s: owners %+v and %+v", group, first, second)
		}
		without := func(lost fleet.InstanceID) []owner.Candidate {
			var remaining []owner.Candidate
			for _, candidate := range all {
				if candidate.Instance != lost {
					remaining = append(remaining, candidate)
				}
			}
			return remaining
		}
		if got := owner.Choose(group, without(second.Instance)); got[0] != first.Instance {
			t.Errorf("%s: first owner %s after the second was lost, want %s", group, got[0], first.Instance)
		}
	}
	if owners := owner.Choose("g", candidates(3)); len(owners) != owner.Ranks {
		t.Errorf("owners among three instances: %v", owners)
	}
}

// TestWitnesses guards against an owner that has no say in the failure of its primary,
// and against asking all instances.
func TestWitnesses(t *testing.T) {
	var live []fleet.InstanceID
	for _, candidate := range candidates(60) {
		live = append(live, candidate.Instance)
	}
	owners := []fleet.InstanceID{"i7", "i8"}
	witnesses := owner.Witnesses("g", owners, live)
	if diff := cmp.Diff(owners, witnesses[:2]); diff != "" || len(witnesses) != 9 {
		t.Errorf("%d witnesses, the first ones (-want +got):\n%s", len(witnesses), diff)
	}
}

// TestDirectory guards against requests that are sent to an owner that did not respond,
// that can't use the servers or that is gone, and against one that is never called
// again.
func TestDirectory(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	live := func(instance fleet.InstanceID) bool { return instance != "gone" }
	d := owner.NewDirectory()
	d.Set(map[fleet.GroupID][]fleet.InstanceID{"g": {"a", "b"}, "h": {"gone", "a"}, "n": {"gone"}})
	target := func(now time.Time, group fleet.GroupID) fleet.InstanceID {
		instance, found := d.Target(now, group, live)
		if !found {
			return ""
		}
		return instance
	}
	d.RecordUnavailable(now, "g", "a")
	for _, test := range []struct {
		after time.Duration
		group fleet.GroupID
		want  fleet.InstanceID
	}{
		{group: "g", want: "b"},
		{group: "h", want: "a"},
		{group: "n"},
		{group: "unowned"},
		{after: 2 * time.Second, group: "g", want: "a"},
	} {
		if diff := cmp.Diff(test.want, target(now.Add(test.after), test.group)); diff != "" {
			t.Errorf("target of %s after %v (-want +got):\n%s", test.group, test.after, diff)
		}
	}
	d.RecordSilence(now, "b")
	if diff := cmp.Diff(fleet.InstanceID(""), target(now, "g")); diff != "" {
		t.Errorf("target while both owners are out of use (-want +got):\n%s", diff)
	}
	d.Prune(now.Add(2 * time.Second))
	if diff := cmp.Diff(fleet.InstanceID("a"), target(now, "g")); diff != "" {
		t.Errorf("target after pruning (-want +got):\n%s", diff)
	}
}

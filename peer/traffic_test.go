package peer_test

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegpier/nutmegpier/fleet"
	v1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	// maxExchangeBytes is the largest allowed size of an Exchange message while
	// no member is silent.
	maxExchangeBytes = 80
	// maxBytesPerSilentMember is the largest allowed increase for each silent
	// member.
	maxBytesPerSilentMember = 40
)

func sender(i int) *v1.Sender {
	return &v1.Sender{Epoch: ^uint64(0) - uint64(i), Instance: fmt.Sprintf("instance-%02d", i)}
}

// newLoadedController returns a controller that knows a number of members, 8
// workspaces and 9 servers, and the Exchange request of one of the members.
func newLoadedController(tb testing.TB, members int, silent bool) (*peer.Controller, *v1.ExchangeRequest) {
	tb.Helper()
	clock := &manualClock{now: time.Now()}
	limits := peer.Limits{Version: 1}
	for i := range 8 {
		limits.Rates = append(limits.Rates, workspace.Limit{Burst: 100, Rate: 100, Workspace: fleet.WorkspaceID(fmt.Sprintf("workspace-%d", i))})
	}
	for i := range 9 {
		limits.Permits = append(limits.Permits, peer.PermitLimit{Budget: 7, Server: fleet.ServerID(fmt.Sprintf("server-%d", i))})
	}
	c := peer.New(peer.Config{
		Clock: clock, Epoch: fleet.Epoch(sender(0).GetEpoch()), Self: fleet.InstanceID(sender(0).GetInstance()),
		Limits: func([]byte) (peer.Limits, error) { return limits, nil },
	})
	if err := c.OfferSheet(1, []byte("sheet")); err != nil {
		tb.Fatal(err)
	}
	request := &v1.ExchangeRequest{
		Suspicions:  []*v1.Suspicion{{Group: "orders", SilenceMs: 900, Term: 7}},
		Versions:    &v1.Versions{FullGeneration: 300, JointGeneration: 300, RosterGeneration: 300, SheetVersion: 1, StoreReadAgeMs: 500},
		WantVoucher: true,
	}
	for i := 1; i < members && silent; i++ {
		request.Liveness = append(request.Liveness, &v1.Liveness{Member: sender(i), SilenceMs: 500})
	}
	for i := 1; i < members; i++ {
		request.Sender = sender(i)
		if _, err := c.Exchange(tb.Context(), connect.NewRequest(request)); err != nil {
			tb.Fatal(err)
		}
	}
	if silent {
		clock.now = clock.now.Add(9 * time.Second)
	}
	return c, request
}

// TestExchangeSize guards against Exchange messages that grow faster than the
// number of members.
func TestExchangeSize(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, members := range []int{3, 9, 30} {
			c, request := newLoadedController(t, members, silent)
			response, err := c.Exchange(t.Context(), connect.NewRequest(request))
			if err != nil {
				t.Fatal(err)
			}
			requestBytes, responseBytes := proto.Size(request), proto.Size(response.Msg)
			t.Logf("%d members, silent %v: request %d B, response %d B, %d B/s sent and received by each instance",
				members, silent, requestBytes, responseBytes, 2*2*(members-1)*(requestBytes+responseBytes))
			limit := maxExchangeBytes
			if silent {
				limit += maxBytesPerSilentMember * members
			}
			if requestBytes > limit || responseBytes > limit {
				t.Errorf("%d members: request %d B, response %d B, limit %d B", members, requestBytes, responseBytes, limit)
			}
		}
	}
}

// BenchmarkExchange measures the handling of one Exchange call, without encoding
// the messages.
func BenchmarkExchange(b *testing.B) {
	for _, members := range []int{3, 9, 30} {
		b.Run(fmt.Sprintf("Members%d", members), func(b *testing.B) {
			c, request := newLoadedController(b, members, false)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Exchange(b.Context(), connect.NewRequest(request)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAdmit measures the admission of one request.
func BenchmarkAdmit(b *testing.B) {
	c, _ := newLoadedController(b, 9, false)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		c.Admit(now, "workspace-1")
	}
}

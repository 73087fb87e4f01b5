package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/relay"
)

const (
	heartbeatInterval = 2100 * time.Millisecond
	pollInterval      = 1500 * time.Millisecond
)

// mirrorSource relays a copy of one table.
type mirrorSource struct {
	source
	mirror *feed.Mirror
}

func (s *mirrorSource) ReadChanges(_ context.Context, request relay.Request) (feed.Snapshot, error) {
	return s.mirror.ChangesSince(request.After), nil
}

// memberTable generates the rows of a number of instances.
type memberTable struct {
	random   *rand.Rand
	revision feed.Revision
	rows     []gateway.MemberRow
	versions []feed.Row
	// written counts the written rows.
	written int
}

func newMemberTable(instances int) *memberTable {
	table := &memberTable{random: rand.New(rand.NewPCG(1, 1)), revision: 100, rows: make([]gateway.MemberRow, instances), versions: make([]feed.Row, instances)}
	for i := range instances {
		secret := make([]byte, 32)
		for j := range secret {
			secret[j] = byte(table.random.Uint32())
		}
		table.rows[i] = gateway.MemberRow{
			Address: fmt.Sprintf("10.%d.%d.%d:7575", i%6, i/250, i%250), DataCentre: fleet.DataCentre(fmt.Sprintf("zone-%d", i%6)),
			Epoch: fleet.Epoch(table.random.Uint64()), LinkMegabits: 20, Phase: "Holding", ProcessorShare: 0.192,
			Since: time.Duration(table.random.Int64N(1e9)) * time.Microsecond, Secret: secret,
		}
		table.heartbeat(i, 3000*time.Second)
	}
	return table
}

// heartbeat changes the row of an instance.
func (m *memberTable) heartbeat(i int, now time.Duration) {
	const rowsPerTransaction = 40
	if m.written++; m.written%rowsPerTransaction == 0 {
		m.revision++
	}
	row := &m.rows[i]
	row.At, row.Beat = now.Truncate(time.Millisecond), row.Beat+1
	row.Demand = float64(m.random.IntN(40))
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	m.versions[i] = feed.Row{Key: fmt.Sprintf("front-%s-%d", row.DataCentre, i), Revision: m.revision, Value: value}
}

// advance writes the heartbeats between two times on the store's clock.
func (m *memberTable) advance(from, to time.Duration) {
	m.revision++
	for i := range m.rows {
		offset := heartbeatInterval * time.Duration(i) / time.Duration(len(m.rows))
		if (from-offset)/heartbeatInterval != (to-offset)/heartbeatInterval {
			m.heartbeat(i, to-time.Duration(m.random.Int64N(int64(time.Second))))
		}
	}
}

func (m *memberTable) complete() feed.Snapshot {
	return feed.Snapshot{Complete: true, Revision: m.revision, Rows: m.versions}
}

// cost is the traffic of one reader.
type cost struct {
	load, lostHistory, configuration int64
	// steady is the number of bytes a second in steady state.
	steady float64
}

// measure returns the traffic of a reader of the instances' rows and the configuration.
// The function call makes one request and applies the answer to the reader's copy.
func measure(t *testing.T, instances int, call func(s *mirrorSource, client *handlerClient, copied *feed.Mirror)) cost {
	t.Helper()
	var c cost
	spent := func(s *mirrorSource, copied *feed.Mirror) int64 {
		client := newHandlerClient(s, 1000)
		call(s, client, copied)
		for key, row := range s.mirror.Rows() {
			if string(copied.Version(key).Value) != string(row.Value) {
				t.Fatalf("%d instances: row %s differs", instances, key)
			}
		}
		return client.bytes
	}
	table, copied := newMemberTable(instances), feed.NewMirror()
	s := &mirrorSource{mirror: feed.NewMirror()}
	s.mirror.Apply(table.complete(), time.Time{})
	c.load = spent(s, copied)
	const polls = 20
	now := 3000 * time.Second
	for range polls {
		table.advance(now, now+pollInterval)
		now += pollInterval
		changes := feed.Snapshot{Revision: table.revision, Rows: table.versions}
		s.mirror.Apply(changes, time.Time{})
		c.steady += float64(spent(s, copied)) / (polls * pollInterval).Seconds()
	}
	table.advance(now, now+pollInterval)
	s.mirror.Apply(table.complete(), time.Time{})
	c.lostHistory = spent(s, copied)

	configuration, copied := &mirrorSource{mirror: feed.NewMirror()}, feed.NewMirror()
	for version := range 2 {
		row := feed.Row{Key: "configuration", Revision: feed.Revision(version + 1), Value: configurationText(instances, version)}
		configuration.mirror.Apply(feed.Snapshot{Complete: version == 0, Revision: row.Revision, Rows: []feed.Row{row}}, time.Time{})
		c.configuration = spent(configuration, copied)
	}
	return c
}

// configurationText returns a configuration of about 200 bytes an instance, of which the
// version, one limit and one key change.
func configurationText(instances, version int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"tenants":[`, 100+version)
	for i := range instances {
		rate, key := 10+i%90, ""
		if i == instances/2 {
			rate += version
		}
		if i == instances-2 && version > 0 {
			key = `,"0b7ff6a1c6e8d3f5"`
		}
		fmt.Fprintf(&text, `{"name":"tenant-%d","api_keys":["%016x%016x"%s],"rate_per_s":%d,"burst":%d,"routes":["urgent","lookups","entries"]},`, i, i*7919, i*104729, key, rate, 2*rate)
	}
	return []byte(text.String() + "]}")
}

// callPacked is a call of this version of the program.
func callPacked(_ *mirrorSource, client *handlerClient, copied *feed.Mirror) {
	snapshot, err := relay.NewClient(client).Changes(context.Background(), "relay", []byte("secret"), relay.Request{After: copied.Revision(), Table: "t"}, copied.Version)
	if err != nil {
		panic(err)
	}
	copied.Apply(snapshot, time.Time{})
}

// callPlain is a call of an earlier version, whose rows are not packed and contain one
// changed part.
func callPlain(s *mirrorSource, client *handlerClient, copied *feed.Mirror) {
	request := connect.NewRequest(&nutmegpierv1.ChangesRequest{After: uint64(copied.Revision()), Table: "t"})
	request.Header().Set("Nutmegpier-Secret", "c2VjcmV0")
	if _, err := nutmegpierv1connect.NewRelayServiceClient(client, "http://relay", connect.WithAcceptCompression("gzip", nil, nil)).Changes(context.Background(), request); err != nil {
		panic(err)
	}
	copied.Apply(s.mirror.ChangesSince(copied.Revision()), time.Time{})
}

// TestBytesOfFleet guards against control traffic of a reader that exceeds its target at
// the target size: 4 kB/s for the rows of 300 instances in steady state, and a
// lost history or a changed configuration that costs as much as a whole table.
func TestBytesOfFleet(t *testing.T) {
	for _, instances := range []int{30, 100, 300, 1000} {
		plain, packed := measure(t, instances, callPlain), measure(t, instances, callPacked)
		t.Logf("%d instances, bytes of one reader, plain and packed: start %d, %d; steady %.0f/s, %.0f/s; lost history %d, %d; configuration %d, %d",
			instances, plain.load, packed.load, plain.steady, packed.steady, plain.lostHistory, packed.lostHistory, plain.configuration, packed.configuration)
		const target = 4000
		if instances <= 300 && packed.steady > target {
			t.Errorf("%d instances: %.0f bytes a second in steady state, want at most %d", instances, packed.steady, target)
		}
		if packed.lostHistory*3 > packed.load {
			t.Errorf("%d instances: %d bytes after a lost history, a whole table has %d", instances, packed.lostHistory, packed.load)
		}
		if limit := int64(500); packed.configuration > limit {
			t.Errorf("%d instances: %d bytes for a changed configuration, want at most %d", instances, packed.configuration, limit)
		}
	}
}

// BenchmarkChanges measures the changes of the rows of 300 instances between two polls,
// for one of many readers: at the relay alone, and at both ends.
func BenchmarkChanges(b *testing.B) {
	table := newMemberTable(300)
	s := &mirrorSource{mirror: feed.NewMirror()}
	s.mirror.Apply(table.complete(), time.Time{})
	copied := feed.NewMirror()
	copied.Apply(table.complete(), time.Time{})
	table.advance(3000*time.Second, 3000*time.Second+pollInterval)
	s.mirror.Apply(feed.Snapshot{Revision: table.revision, Rows: table.versions}, time.Time{})
	client := newHandlerClient(s, 1000)
	for name, call := range map[string]func() error{
		"both ends": func() error {
			_, err := relay.NewClient(client).Changes(b.Context(), "relay", []byte("secret"), relay.Request{After: copied.Revision(), Table: "t"}, copied.Version)
			return err
		},
		"relay": func() error {
			request := connect.NewRequest(&nutmegpierv1.ChangesRequest{Accepts: 1, After: uint64(copied.Revision()), Table: "t"})
			request.Header().Set("Nutmegpier-Secret", "c2VjcmV0")
			_, err := nutmegpierv1connect.NewRelayServiceClient(client, "http://relay", connect.WithAcceptCompression("gzip", nil, nil)).Changes(b.Context(), request)
			return err
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := call(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

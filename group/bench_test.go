package group_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// benchView returns the view of a healthy group after 70 rounds of polls, so that
// the list of confirmed positions is full.
func benchView(now time.Time, servers int) group.View {
	model := newModelGroup(servers)
	view := modelView(model)
	for round := range 70 {
		at := now.Add(time.Duration(round-70) * 250 * time.Millisecond)
		for _, s := range model {
			s.lastContact = at
			view = view.Observe(s.observation(at.Add(-time.Millisecond), at))
		}
	}
	return view
}

// BenchmarkDecisions measures each kind of decision on one group, by the number
// of servers.
func BenchmarkDecisions(b *testing.B) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	for _, servers := range []int{3, 5, 7, 9} {
		view := benchView(now, servers)
		requirement := group.ReadRequirement{MaxAge: 500 * time.Millisecond, Written: fleet.Position{Log: 1, Term: 1}}
		observation := group.Observation{RespondedAt: now, RequestedAt: now, Server: "b", Status: view.Servers[1].Status}
		for _, bench := range []struct {
			name string
			run  func()
		}{
			{"Barrier", func() { group.DecideBarrier(view, now.Add(-time.Second)) }},
			{"Commit", func() { group.DecideCommit(view, fleet.Position{Log: 1, Term: 1}) }},
			{"Observe", func() { view.Observe(observation) }},
			{"ReadCandidates", func() {
				group.ReadCandidates(now, view, requirement, group.ReplicaSelection{Random: random, Strategy: group.SampledTwo})
			}},
		} {
			b.Run(fmt.Sprintf("%s/servers=%d", bench.name, servers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					bench.run()
				}
			})
		}
	}
}

// BenchmarkGroups measures the detector and promoter steps of many groups. The
// time per group must not grow with the number of groups.
func BenchmarkGroups(b *testing.B) {
	for _, groups := range []int{1, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			now := time.Unix(1000, 0)
			view := benchView(now, 3)
			detectors := make([]*group.Detector, groups)
			promoters := make([]*group.Promoter, groups)
			for i := range groups {
				detectors[i] = group.NewDetector(group.DefaultSettings())
				promoters[i] = group.NewPromoter("g", group.DefaultSettings())
			}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				for i, detector := range detectors {
					in := group.PromoterInput{Detection: detector.Step(now, view, nil, 9), Now: now, View: view}
					promoters[i].Step(in, nil)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(groups), "ns/group")
		})
	}
}

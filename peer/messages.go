package peer

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	v1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/workspace"
)

func toSender(m Member) *v1.Sender {
	return &v1.Sender{Epoch: uint64(m.Epoch), Instance: string(m.Instance)}
}

func fromSender(s *v1.Sender) Member {
	return Member{Epoch: fleet.Epoch(s.GetEpoch()), Instance: fleet.InstanceID(s.GetInstance())}
}

func toVersions(r Report) *v1.Versions {
	return &v1.Versions{
		FullGeneration:   uint64(r.FullPhase),
		GuestGifts:       r.GuestGifts,
		JointGeneration:  uint64(r.JointPhase),
		NeedsReset:       r.NeedsReset,
		PriorGifts:       r.PriorGifts,
		RosterGeneration: uint64(r.Held.Generation),
		SheetVersion:     uint64(r.Held.Sheet),
	}
}

func fromVersions(v *v1.Versions) Report {
	return Report{
		FullPhase:  fleet.RosterGeneration(v.GetFullGeneration()),
		GuestGifts: v.GetGuestGifts(),
		Held: Versions{
			Generation: fleet.RosterGeneration(v.GetRosterGeneration()),
			Sheet:      fleet.SheetVersion(v.GetSheetVersion()),
		},
		JointPhase: fleet.RosterGeneration(v.GetJointGeneration()),
		NeedsReset: v.GetNeedsReset(),
		PriorGifts: v.GetPriorGifts(),
	}
}

func toLiveness(report []Liveness) []*v1.Liveness {
	out := make([]*v1.Liveness, 0, len(report))
	for _, l := range report {
		out = append(out, &v1.Liveness{Member: toSender(l.Member), SilenceMs: uint64(l.Silence.Milliseconds())})
	}
	return out
}

func fromLiveness(messages []*v1.Liveness) []Liveness {
	out := make([]Liveness, 0, len(messages))
	for _, l := range messages {
		out = append(out, Liveness{Member: fromSender(l.GetMember()), Silence: durationFromMillis(l.GetSilenceMs())})
	}
	return out
}

func toSuspicions(suspicions []Suspicion) []*v1.Suspicion {
	out := make([]*v1.Suspicion, 0, len(suspicions))
	for _, s := range suspicions {
		out = append(out, &v1.Suspicion{Group: string(s.Group), SilenceMs: uint64(s.Silence.Milliseconds()), Term: uint64(s.Term)})
	}
	return out
}

func fromSuspicions(by Member, messages []*v1.Suspicion) []Suspicion {
	out := make([]Suspicion, 0, len(messages))
	for _, s := range messages {
		out = append(out, Suspicion{Reporter: by, Group: fleet.GroupID(s.GetGroup()), Silence: durationFromMillis(s.GetSilenceMs()), Term: fleet.Term(s.GetTerm())})
	}
	return out
}

func toRates(rates []RateAmount) []*v1.RateShare {
	out := make([]*v1.RateShare, 0, len(rates))
	for _, r := range rates {
		out = append(out, &v1.RateShare{Capacity: r.Share.Capacity, Level: r.Share.Level, Rate: r.Share.Rate, Workspace: string(r.Workspace)})
	}
	return out
}

func fromRates(messages []*v1.RateShare) []RateAmount {
	out := make([]RateAmount, 0, len(messages))
	for _, r := range messages {
		out = append(out, RateAmount{
			Share:     workspace.Share{Capacity: r.GetCapacity(), Level: r.GetLevel(), Rate: r.GetRate()},
			Workspace: fleet.WorkspaceID(r.GetWorkspace()),
		})
	}
	return out
}

func toPermits(permits []PermitAmount) []*v1.PermitShare {
	out := make([]*v1.PermitShare, 0, len(permits))
	for _, p := range permits {
		out = append(out, &v1.PermitShare{Permits: uint32(p.Permits), Server: string(p.Server)})
	}
	return out
}

func fromPermits(messages []*v1.PermitShare) []PermitAmount {
	out := make([]PermitAmount, 0, len(messages))
	for _, p := range messages {
		out = append(out, PermitAmount{Permits: int(p.GetPermits()), Server: fleet.ServerID(p.GetServer())})
	}
	return out
}

// durationFromMillis converts a number of milliseconds from a message. The result
// is at most one hour, so that no value in a message causes an overflow.
func durationFromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, 3_600_000)) * time.Millisecond
}

package sheet_test

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"errors"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/xdg-go/scram"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

func example(t testing.TB) string {
	t.Helper()
	content, err := os.ReadFile("testdata/sheet.hujson")
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func parse(t testing.TB, content string) sheet.Sheet {
	t.Helper()
	parsed, err := sheet.Parse("f", []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// TestDecidePublish guards against a lost update when two operators publish
// concurrently, a publication that is written twice, a conflict reported for a
// publication that took effect before a later one, and sheets with new risks that
// are published without Force.
func TestDecidePublish(t *testing.T) {
	content := example(t)
	current := parse(t, content)
	zeroRate := strings.Replace(content, `"Rate": 200`, `"Rate": 0`, 1)
	deployment := sheet.Deployment{BusyWorkspaces: []fleet.WorkspaceID{"die-room"}}
	state := sheet.PublishState{AfterBase: sheet.VersionRow{Found: true, Publication: "p6"}, Current: current, Head: 7, HeadPublication: "p7", Deployment: deployment}
	for _, tc := range []struct {
		name    string
		request sheet.PublishRequest
		want    sheet.Decision
	}{
		{"Conflict", sheet.PublishRequest{Base: 6, Content: content, Publication: "p8"}, sheet.Decision{Outcome: sheet.OutcomeConflict, Version: 7}},
		{"DryRun", sheet.PublishRequest{Base: 7, Content: content, DryRun: true, Publication: "p8"}, sheet.Decision{Outcome: sheet.OutcomeDryRun, Version: 7}},
		{"Forced", sheet.PublishRequest{Base: 7, Content: zeroRate, Force: true, Publication: "p8"}, sheet.Decision{
			Changes:  []string{"~ Workspaces[die-room].Rate: 200 -> 0"},
			Problems: []string{"workspace die-room has traffic and a rate of 0"}, Version: 8, Write: true,
		}},
		{"Invalid", sheet.PublishRequest{Base: 7, Content: `{"Format": 2}`, Publication: "p8"}, sheet.Decision{
			Outcome: sheet.OutcomeInvalid, Problems: []string{"sheet:1:12: Format: out of range, found 2, accepted: 1 to 1"}, Version: 7,
		}},
		{"Repeated", sheet.PublishRequest{Base: 6, Content: content, Publication: "p7"}, sheet.Decision{Outcome: sheet.OutcomeStored, Version: 7}},
		{"Superseded", sheet.PublishRequest{Base: 5, Content: content, Publication: "p6"}, sheet.Decision{Outcome: sheet.OutcomeStored, Version: 7}},
		{"Unsafe", sheet.PublishRequest{Base: 7, Content: zeroRate, Publication: "p8"}, sheet.Decision{
			Changes: []string{"~ Workspaces[die-room].Rate: 200 -> 0"}, Outcome: sheet.OutcomeUnsafe,
			Problems: []string{"workspace die-room has traffic and a rate of 0"}, Version: 7,
		}},
		{"Write", sheet.PublishRequest{Base: 7, Content: content, Publication: "p8"}, sheet.Decision{Version: 8, Write: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := gocmp.Diff(tc.want, sheet.DecidePublish(state, tc.request)); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRacingPublicationsHaveOneWinner guards against two publications with the same
// base that both report success. Responses to writes are lost at random, and
// requests are retried.
func TestRacingPublicationsHaveOneWinner(t *testing.T) {
	content := example(t)
	rapid.Check(t, func(t *rapid.T) {
		state := sheet.PublishState{Head: 1, HeadPublication: "p1"}
		rows := map[fleet.SheetVersion]sheet.PublicationID{1: "p1"}
		stored := map[sheet.PublicationID]bool{}
		for _, id := range rapid.SliceOfN(rapid.SampledFrom([]sheet.PublicationID{"a", "b", "c"}), 1, 12).Draw(t, "attempts") {
			decision := sheet.DecidePublish(state, sheet.PublishRequest{Base: 1, Content: content, Publication: id})
			if decision.Write && rapid.Bool().Draw(t, "takesEffect") {
				rows[decision.Version] = id
				state.Head, state.HeadPublication = decision.Version, id
			}
			row, found := rows[2]
			if decision.Outcome == sheet.OutcomeStored || sheet.Resolve(id, sheet.VersionRow{Found: found, Publication: row}) == sheet.ResolutionStored {
				stored[id] = true
			}
		}
		if len(stored) > 1 || state.Head > 2 {
			t.Fatalf("stored %v, head %d", stored, state.Head)
		}
	})
}

// TestDiff guards against changes that are missing from the diff shown to
// operators.
func TestDiff(t *testing.T) {
	before := example(t)
	after := strings.NewReplacer(`"Burst": 40`, `"Burst": 50`, `"KeyID": "k2"`, `"KeyID": "k3"`, `"State": "Out"`, `"State": "InService"`).Replace(before)
	want := []string{
		"~ DataCentres[gt-2].State: Out -> InService",
		"~ Workspaces[die-room].Burst: 40 -> 50",
		"- Workspaces[die-room].Keys[k2].NotAfter: 2026-03-02T12:00:00Z",
		"- Workspaces[die-room].Keys[k2].ServerKey: DDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDA=",
		"- Workspaces[die-room].Keys[k2].StoredKey: CCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCA=",
		"+ Workspaces[die-room].Keys[k3].NotAfter: 2026-03-02T12:00:00Z",
		"+ Workspaces[die-room].Keys[k3].ServerKey: DDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDDA=",
		"+ Workspaces[die-room].Keys[k3].StoredKey: CCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCCA=",
	}
	if diff := gocmp.Diff(want, sheet.DiffLines(parse(t, before), parse(t, after))); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestGenerateKey guards against verifiers that reject their own key in a
// SCRAM-SHA-256 exchange or accept another key.
func TestGenerateKey(t *testing.T) {
	random := rand.NewChaCha8([32]byte{1})
	salt, err := sheet.GenerateSalt(random)
	if err != nil {
		t.Fatal(err)
	}
	generated, err := sheet.GenerateKey(random, salt, sheet.DefaultIterations)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(generated.Key, "npk_"+generated.Verifier.KeyID+"_") {
		t.Errorf("key does not contain its ID %s", generated.Verifier.KeyID)
	}
	if err := authenticate(t, generated, generated.Key); err != nil {
		t.Errorf("authenticate with the generated key: %v", err)
	}
	if err := authenticate(t, generated, generated.Key+"a"); err == nil {
		t.Error("another key was accepted")
	}
	var failed *sheet.Error
	if _, err := sheet.GenerateKey(&bytes.Buffer{}, salt, sheet.DefaultIterations); !errors.As(err, &failed) || failed.Kind != sheet.KindRandom {
		t.Errorf("short random source: %v", err)
	}
	if _, err := sheet.GenerateKey(random, "!", 1); !errors.As(err, &failed) || failed.Kind != sheet.KindSalt {
		t.Errorf("bad salt: %v", err)
	}
}

// authenticate runs a SCRAM-SHA-256 exchange with the generated verifier and the
// given key.
func authenticate(t *testing.T, generated sheet.GeneratedKey, key string) error {
	t.Helper()
	decode := func(text string) []byte {
		decoded, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Iters: generated.Iterations, Salt: string(decode(generated.Salt))},
			ServerKey:  decode(generated.Verifier.ServerKey),
			StoredKey:  decode(generated.Verifier.StoredKey),
		}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	client, err := scram.SHA256.NewClient("die-room", key, "")
	if err != nil {
		t.Fatal(err)
	}
	clientConversation, serverConversation := client.NewConversation(), server.NewConversation()
	message := ""
	for !serverConversation.Done() {
		if message, err = clientConversation.Step(message); err != nil {
			return err
		}
		if message, err = serverConversation.Step(message); err != nil {
			return err
		}
	}
	_, err = clientConversation.Step(message)
	return err
}

// TestIndexAgreesWithSheet guards against an index whose lookups differ from those
// of the sheet that it was built from.
func TestIndexAgreesWithSheet(t *testing.T) {
	ids := rapid.SampledFrom([]string{"a", "b", "c"})
	times := rapid.SampledFrom([]string{"", "bad", "2026-03-02T12:00:00Z", "2026-03-02T12:00:01+01:00"})
	rapid.Check(t, func(t *rapid.T) {
		id := ids.Draw(t, "id")
		s := sheet.Sheet{
			DataCentres: []sheet.DataCentre{{DataCentre: fleet.DataCentre(ids.Draw(t, "dataCentre")), State: rapid.SampledFrom([]sheet.State{sheet.StateOut, sheet.StateInService}).Draw(t, "state")}},
			Routes:      []sheet.Route{{Database: fleet.GroupID(ids.Draw(t, "route")), OpenToAll: rapid.Bool().Draw(t, "open")}},
			Servers:     []sheet.Server{{Server: fleet.ServerID(ids.Draw(t, "server")), State: rapid.SampledFrom([]sheet.State{sheet.StateLeaving, sheet.StateInService}).Draw(t, "serverState")}},
			Workspaces: []sheet.Workspace{{
				Burst: 2, Databases: []fleet.GroupID{fleet.GroupID(ids.Draw(t, "database"))}, Rate: 3, Weight: 4, Workspace: fleet.WorkspaceID(ids.Draw(t, "workspace")),
				Keys: []sheet.Key{{KeyID: ids.Draw(t, "key"), NotAfter: times.Draw(t, "notAfter")}},
			}},
		}
		now := time.Date(2026, 3, 2, 11, 0, rapid.IntRange(0, 2*3600).Draw(t, "now"), 0, time.UTC)
		index := sheet.NewIndex(s)
		wantLimits, wantKnown := s.Limits(fleet.WorkspaceID(id))
		gotLimits, gotKnown := index.Limits(fleet.WorkspaceID(id))
		want := []any{
			s.AcceptsKey(fleet.WorkspaceID(id), "a", now), s.IsInService(fleet.DataCentre(id)), s.IsLeaving(fleet.ServerID(id)),
			s.IsOpenToAll(fleet.GroupID(id)), s.MayUse(fleet.WorkspaceID(id), "b"), wantLimits, wantKnown,
		}
		got := []any{
			index.AcceptsKey(fleet.WorkspaceID(id), "a", now), index.IsInService(fleet.DataCentre(id)), index.IsLeaving(fleet.ServerID(id)),
			index.IsOpenToAll(fleet.GroupID(id)), index.MayUse(fleet.WorkspaceID(id), "b"), gotLimits, gotKnown,
		}
		if diff := gocmp.Diff(want, got); diff != "" {
			t.Fatalf("lookups (-want +got):\n%s", diff)
		}
	})
}

// TestLookup guards against expired keys that are accepted, service states in the
// sheet that are ignored, and databases that a workspace may use although it does not
// list them.
func TestLookup(t *testing.T) {
	s := parse(t, example(t))
	expiry := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	credentials, _ := s.Credentials("die-room", expiry.Add(-1))
	_, known := s.Credentials("nobody", expiry)
	limits, _ := s.Limits("die-room")
	want := []any{2, false, true, false, false, true, false, true, true, false, true, false, sheet.Limits{Burst: 40, Rate: 200, Weight: 4}}
	got := []any{
		len(credentials.Verifiers), known,
		s.AcceptsKey("die-room", "k2", expiry.Add(-1)), s.AcceptsKey("die-room", "k2", expiry), s.AcceptsKey("nobody", "k1", expiry),
		s.IsInService("gt-1"), s.IsInService("gt-2"), s.IsLeaving("orders-3"),
		s.IsOpenToAll("shelf"), s.IsOpenToAll("orders"),
		s.MayUse("die-room", "orders"), s.MayUse("die-room", "stock"), limits,
	}
	if diff := gocmp.Diff(want, got); diff != "" {
		t.Errorf("lookups (-want +got):\n%s", diff)
	}
}

// TestParseReportsAllProblems guards against a validation that stops at the first
// problem, and against keys and verifiers in the reported problems.
func TestParseReportsAllProblems(t *testing.T) {
	content := strings.NewReplacer(
		`"Rate": 200`, `"Rate": -1`, `"Weight": 4`, `"Wieght": 4`, `"KeyID": "k2"`, `"KeyID": "k1"`, `"StoredKey": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="`, `"StoredKey": "secret!"`,
		`"school-supply"`, `"npk_ab12_s3cr3t!"`, `"Leaving"`, `"Gone"`, `"Burst": 5`, `"Burst": 0.5`,
	).Replace(example(t))
	_, err := sheet.Parse("f", []byte(content))
	var invalid *sheet.Error
	if !errors.As(err, &invalid) {
		t.Fatalf("error is %v, want *sheet.Error", err)
	}
	want := []string{
		"f:6:37: Workspaces[0].Rate: out of range, found -1, accepted: 0 to 10000000",
		"f:6:54: Workspaces[0].Wieght: unknown key, did you mean Weight?",
		"f:9:34: Workspaces[0].Keys[0].StoredKey: value is not accepted, accepted: base64 of 32 bytes",
		"f:10:15: Workspaces[0].Keys[1].KeyID: key of workspace die-room k1 is listed twice",
		`f:15:17: Workspaces[1].Workspace: value is not accepted, found "npk_[redacted]!", accepted: 1 to 63 of A-Z a-z 0-9 . _ -, first a letter or digit`,
		"f:15:18: this looks like a key; only its verifier belongs in a sheet",
		"f:15:58: Workspaces[1].Burst: burst below 1 with a rate above 0 admits no request",
		`f:23:46: Servers[0].State: value is not accepted, found "Gone", accepted: InService, Leaving`,
	}
	if diff := gocmp.Diff(want, invalid.Lines()); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

// TestSetState guards against a drain that loses other parts of the sheet or its
// comments, or does not change the state.
func TestSetState(t *testing.T) {
	before := example(t)
	content, err := sheet.SetDataCentre(before, "gt-1", sheet.StateOut)
	if err != nil {
		t.Fatal(err)
	}
	if content, err = sheet.SetServer(content, "orders-3", sheet.StateInService); err != nil {
		t.Fatal(err)
	}
	want := []string{"+ DataCentres[gt-1].State: Out", "~ Servers[orders-3].State: Leaving -> InService"}
	if diff := gocmp.Diff(want, sheet.DiffLines(parse(t, before), parse(t, content))); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	if !strings.Contains(content, "// The die room has") {
		t.Error("comment was lost")
	}
	if content, err = sheet.SetServer(`{"Format": 1}`, "s-1", sheet.StateLeaving); err != nil || !parse(t, content).IsLeaving("s-1") {
		t.Errorf("sheet without servers: %q, %v", content, err)
	}
}

// TestReferencePage guards against a reference page that lacks a key of the sheet or
// states different accepted values or defaults.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../docs/sheet.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range sheet.Rules() {
		line := "| `" + rule.Path + "` | " + cmp.Or(rule.Accepted(false), "-") + " | "
		switch {
		case rule.Required:
			line += "required"
		default:
			line += cmp.Or(rule.Default, "-")
		}
		if !strings.Contains(string(page), line+" | ") {
			t.Errorf("docs/sheet.md does not contain %q", line)
		}
	}
}

// TestNewRisks guards against sheets that interrupt service without a reported risk,
// and against existing risks that block the correction of a sheet.
func TestNewRisks(t *testing.T) {
	content := example(t)
	deployment := sheet.Deployment{DataCentres: []fleet.DataCentre{"gt-1"}, Servers: []sheet.ServerLocation{
		{DataCentre: "gt-2", Group: "orders", Server: "orders-1"},
		{DataCentre: "gt-1", Group: "orders", Server: "orders-2"},
		{DataCentre: "gt-2", Group: "stock", Server: "stock-1"},
	}}
	worse := strings.NewReplacer(`{"DataCentre": "gt-2"`, `{"DataCentre": "gt-9", "State": "Out"}, {"DataCentre": "gt-1", "State": "Out"}, {"DataCentre": "gt-2"`,
		`{"Server": "orders-3"`, `{"Server": "order-2", "State": "Leaving"}, {"Server": "orders-3"`,
		`"KeyID": "k1", "StoredKey": "EEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEEA="`, `"KeyID": "k9", "StoredKey": "GGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGGA="`, `"die-room"`, `"dye-room"`).Replace(content)
	want := []sheet.Risk{
		{Kind: sheet.RiskAllDataCentresOut},
		{Kind: sheet.RiskNoServerLeft, Subject: "orders"},
		{Kind: sheet.RiskUnknownDataCentre, Subject: "gt-9"},
		{Kind: sheet.RiskUnknownServer, Subject: "order-2"},
		{Kind: sheet.RiskWorkspaceRemoved, Subject: "die-room"},
		{Kind: sheet.RiskKeysWithdrawn, Subject: "school-supply"},
	}
	if diff := gocmp.Diff(want, sheet.NewRisks(parse(t, content), parse(t, worse), deployment)); diff != "" {
		t.Errorf("risks (-want +got):\n%s", diff)
	}
}

// FuzzParse guards against panics in the parser, and against accepted sheets that
// SetDataCentre cannot edit.
func FuzzParse(f *testing.F) {
	f.Add(example(f))
	f.Add(`{"Format": 1, "Servers": null}`)
	f.Add(`{"Format": 1, "DataCentres": [/* none */], "Workspaces": [{}]}`)
	f.Fuzz(func(t *testing.T, content string) {
		if _, err := sheet.Parse("f", []byte(content)); err != nil {
			return
		}
		edited, err := sheet.SetDataCentre(content, "fuzz", sheet.StateOut)
		if err != nil {
			t.Fatal(err)
		}
		if parse(t, edited).IsInService("fuzz") {
			t.Errorf("edit of %q had no effect", content)
		}
	})
}

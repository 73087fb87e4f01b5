package document_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/document"
)

type sample struct {
	Duration time.Duration
	Flag     bool
	List     []sampleEntry
	Number   int
	Part     samplePart
}

type sampleEntry struct {
	Text string
}

type samplePart struct {
	Weight float64
}

var sampleRules = []document.Rule{
	{Path: "Duration", Default: "3s", Min: float64(time.Second), Max: float64(time.Minute)},
	{Path: "Flag", Default: "true"},
	{Path: "List[].Text", Format: document.FormatName, Required: true, Secret: true},
	{Path: "Number", Default: "7", Min: 1, Max: 9},
	{Path: "Part.Weight", Default: "0.5"},
}

// TestDecodeDefaults guards against defaults that replace values in the document,
// including zero values, and against missing objects whose fields do not get their
// defaults.
func TestDecodeDefaults(t *testing.T) {
	var got sample
	d := document.Decode("f", []byte(`{"Flag": false, "List": [{"Text": "a"},], /* c */}`), sampleRules, &got)
	if diff := cmp.Diff([]document.Problem(nil), d.Problems()); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
	want := sample{Duration: 3 * time.Second, List: []sampleEntry{{Text: "a"}}, Number: 7, Part: samplePart{Weight: 0.5}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("document (-want +got):\n%s", diff)
	}
}

// TestDecodePositions guards against wrong positions of problems, whose columns count
// characters and not bytes, and against secret values in problems.
func TestDecodePositions(t *testing.T) {
	var got sample
	content := "{/* é */ \"Number\": 10,\n\t\"List\": [{\"Text\": \"not a name\"}, {}], \"Part\": 1,\n\t\"Flag\": null, \"Duration\": 5}"
	d := document.Decode("f", []byte(content), sampleRules, &got)
	d.Add("List[1].Other.Deep", "message")
	var lines []string
	for _, problem := range d.Problems() {
		lines = append(lines, problem.String())
	}
	want := []string{
		"f:1:20: Number: out of range, found 10, accepted: 1 to 9",
		"f:2:20: List[0].Text: value is not accepted, accepted: 1 to 63 of A-Z a-z 0-9 . _ -, first a letter or digit",
		"f:2:35: List[1].Text: key is missing",
		"f:2:35: List[1].Other.Deep: message",
		"f:2:48: Part: want an object, found 1",
		"f:3:10: Flag: want true or false, found null",
		`f:3:28: Duration: want a duration in quotes, such as "900ms", found 5, accepted: 1s to 1m0s`,
	}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

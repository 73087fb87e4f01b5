package faultmatrix_test

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/faultmatrix"
)

var update = flag.Bool("update", false, "write docs/fault-matrix.md")

// TestPage guards against a page that differs from the list of cells in this package.
func TestPage(t *testing.T) {
	t.Parallel()
	const path = "../docs/fault-matrix.md"
	if *update {
		must(t, os.WriteFile(path, []byte(faultmatrix.Page()), 0o644))
	}
	content, err := os.ReadFile(path)
	must(t, err)
	if diff := cmp.Diff(string(content), faultmatrix.Page()); diff != "" {
		t.Errorf("docs/fault-matrix.md is out of date; run go test ./faultmatrix -run TestPage -update (-page +list):\n%s", diff)
	}
}

// cellKey identifies a cell by its fault and step.
type cellKey struct {
	fault faultmatrix.Fault
	step  faultmatrix.Step
}

// TestCellsAreComplete guards against a fault and step without a cell or with several
// ones, a cell without exactly one of test and reason, and a guarantee that does not exist.
func TestCellsAreComplete(t *testing.T) {
	t.Parallel()
	const guarantees = 12
	cells := make(map[cellKey]int)
	for _, cell := range faultmatrix.Cells() {
		cells[cellKey{cell.Fault, cell.Step}]++
		if (cell.Test == "") == (cell.NoTestReason == "") || cell.Test != "" && cell.Expected == "" {
			t.Errorf("%s at %s: want either Test and Expected, or NoTestReason", cell.Fault, cell.Step)
		}
		if cell.Guarantee < 1 || cell.Guarantee > guarantees {
			t.Errorf("%s at %s: guarantee %d does not exist", cell.Fault, cell.Step, cell.Guarantee)
		}
	}
	for _, fault := range faultmatrix.Faults() {
		for _, step := range faultmatrix.Steps() {
			if got := cells[cellKey{fault, step}]; got != 1 {
				t.Errorf("%d cells for %s at %s, want 1", got, fault, step)
			}
		}
	}
	faults := len(faultmatrix.Faults())
	if diff := cmp.Diff(faults*(faults-1)/2, len(faultmatrix.Pairs())); diff != "" {
		t.Errorf("number of pairs (-want +got):\n%s", diff)
	}
}

// TestNamedTestsExist guards against cells and pairs that name a test which was
// removed or renamed.
func TestNamedTestsExist(t *testing.T) {
	t.Parallel()
	var names []string
	for _, cell := range faultmatrix.Cells() {
		names = append(names, cell.Test)
	}
	for _, pair := range faultmatrix.Pairs() {
		names = append(names, pair.Test)
	}
	tests := make(map[string][]string)
	for _, name := range names {
		directory, function, found := strings.Cut(name, ".")
		if name == "" {
			continue
		}
		if _, known := tests[directory]; !known {
			tests[directory] = testFunctions(t, directory)
		}
		if !found || !slices.Contains(tests[directory], function) {
			t.Errorf("test %s does not exist", name)
		}
	}
	if slices.Contains(tests["faultmatrix"], "TestThatDoesNotExist") {
		t.Error("testFunctions found a test that does not exist")
	}
}

// testFunctions parses the test files of a package and returns the names of their
// functions.
func testFunctions(t *testing.T, directory string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", directory, "*_test.go"))
	must(t, err)
	var functions []string
	for _, file := range files {
		syntax, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		must(t, err)
		for _, declaration := range syntax.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
				functions = append(functions, function.Name.Name)
			}
		}
	}
	return functions
}

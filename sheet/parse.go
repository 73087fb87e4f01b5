package sheet

import (
	"fmt"

	"github.com/nutmegpier/nutmegpier/document"
)

// Limits of the numbers in a sheet. They keep calculations with rates and budgets in
// a safe range and limit the cost of an authentication.
const (
	maxConnections = 100_000
	maxIterations  = 1_000_000
	// maxKeyProblems is the maximum number of reported keys that were put into a
	// sheet by mistake.
	maxKeyProblems = 100
	// maxPriority is far above the number of priority classes in use, which is
	// small.
	maxPriority = 1000
	maxRate     = 10_000_000
	// maxRouteMilliseconds limits the ages and timeouts in a sheet to one day.
	maxRouteMilliseconds = 24 * 60 * 60 * 1000
	// maxSyncReplicas is larger than any group.
	maxSyncReplicas = 100
	maxWeight       = 1000
	// minIterations is the minimum iteration count that RFC 7677 recommends for
	// SCRAM-SHA-256.
	minIterations = 4096
)

// Rules returns the rules for the values of a sheet, ordered by key path.
func Rules() []document.Rule {
	return []document.Rule{
		{Path: "DataCentres[].DataCentre", Format: document.FormatName, Required: true},
		{Path: "DataCentres[].State", Choices: []string{string(StateInService), string(StateOut)}, Default: string(StateInService)},
		{Path: "Databases[].ColdRate", Min: 0, Max: maxRate},
		{Path: "Databases[].Connections", Min: 0, Max: maxConnections},
		{Path: "Databases[].Database", Format: document.FormatName, Required: true},
		{Path: "Databases[].SyncReplicas", Min: 0, Max: maxSyncReplicas},
		{Path: "Format", Min: FormatVersion, Max: FormatVersion, Required: true},
		{Path: "Routes[].Consistency", Choices: []string{string(ConsistencyBoundedAge), string(ConsistencyPrimary), string(ConsistencyReadYourWrites)}, Default: string(ConsistencyReadYourWrites)},
		{Path: "Routes[].Database", Format: document.FormatName, Required: true},
		{Path: "Routes[].Group", Format: document.FormatName},
		{Path: "Routes[].MaxAge", Min: 0, Max: maxRouteMilliseconds},
		{Path: "Routes[].Priority", Min: 0, Max: maxPriority},
		{Path: "Routes[].StatementTimeout", Min: 0, Max: maxRouteMilliseconds},
		{Path: "Routes[].TargetLatency", Min: 0, Max: maxRouteMilliseconds},
		{Path: "Servers[].Server", Format: document.FormatName, Required: true},
		{Path: "Servers[].State", Choices: []string{string(StateInService), string(StateLeaving)}, Default: string(StateInService)},
		{Path: "TransactionIdle", Min: 0, Max: maxRouteMilliseconds},
		{Path: "Workspaces[].Burst", Min: 0, Max: maxRate, Required: true},
		{Path: "Workspaces[].Databases", Required: true},
		{Path: "Workspaces[].Databases[]", Format: document.FormatName, Required: true},
		{Path: "Workspaces[].Iterations", Min: minIterations, Max: maxIterations, Default: "4096"},
		{Path: "Workspaces[].Keys[].Digest", Format: document.FormatBase64SHA256, Secret: true},
		{Path: "Workspaces[].Keys[].KeyID", Format: document.FormatName, Required: true},
		{Path: "Workspaces[].Keys[].NotAfter", Format: document.FormatTime},
		{Path: "Workspaces[].Keys[].ServerKey", Format: document.FormatBase64SHA256, Required: true, Secret: true},
		{Path: "Workspaces[].Keys[].StoredKey", Format: document.FormatBase64SHA256, Required: true, Secret: true},
		{Path: "Workspaces[].Rate", Min: 0, Max: maxRate, Required: true},
		{Path: "Workspaces[].Salt", Format: document.FormatBase64, Required: true},
		{Path: "Workspaces[].Weight", Min: 1, Max: maxWeight, Default: "1"},
		{Path: "Workspaces[].Workspace", Format: document.FormatName, Required: true},
	}
}

// Parse parses and validates a sheet. The error is an *Error that lists all
// problems. It does not contain keys that were put into the sheet by mistake. The
// file name is used only in problems.
func Parse(file string, content []byte) (Sheet, error) {
	var parsed Sheet
	d := document.Decode(file, content, Rules(), &parsed)
	for _, violation := range Validate(parsed) {
		d.Add(violation.Path, violation.Message)
	}
	for _, keyRange := range keyPattern.FindAllIndex(content, maxKeyProblems) {
		d.AddAt(keyRange[0], "this looks like a key; only its verifier belongs in a sheet")
	}
	if problems := d.Problems(); len(problems) > 0 {
		return Sheet{}, &Error{Kind: KindInvalid, Op: "parse sheet", Problems: redactProblems(problems)}
	}
	return parsed, nil
}

// Violation is an error in a sheet that the rules for single values do not find,
// such as a duplicate ID.
type Violation struct {
	Message string
	// Path is the key path, for example "Workspaces[1].Keys[0].KeyID".
	Path string
}

// Validate returns the violations in a sheet, such as duplicate IDs. It does not
// check the values against Rules.
func Validate(s Sheet) []Violation {
	v := &validator{seen: map[string]bool{}}
	for i, dataCentre := range s.DataCentres {
		checkUnique(v, "data centre", dataCentre.DataCentre, fmt.Sprintf("DataCentres[%d].DataCentre", i))
	}
	for i, database := range s.Databases {
		checkUnique(v, "database", database.Database, fmt.Sprintf("Databases[%d].Database", i))
	}
	for i, route := range s.Routes {
		checkUnique(v, "route for database", route.Database, fmt.Sprintf("Routes[%d].Database", i))
	}
	for i, server := range s.Servers {
		checkUnique(v, "server", server.Server, fmt.Sprintf("Servers[%d].Server", i))
	}
	for i, workspace := range s.Workspaces {
		v.checkWorkspace(workspace, fmt.Sprintf("Workspaces[%d]", i))
	}
	return v.violations
}

type validator struct {
	violations []Violation
	// seen holds the entries checked so far, for example "server orders-1".
	seen map[string]bool
}

func (v *validator) add(path, message string) {
	v.violations = append(v.violations, Violation{Message: message, Path: path})
}

func (v *validator) checkWorkspace(w Workspace, path string) {
	checkUnique(v, "workspace", w.Workspace, path+".Workspace")
	for i, database := range w.Databases {
		checkUnique(v, "database of workspace "+string(w.Workspace), database, fmt.Sprintf("%s.Databases[%d]", path, i))
	}
	for i, key := range w.Keys {
		checkUnique(v, "key of workspace "+string(w.Workspace), key.KeyID, fmt.Sprintf("%s.Keys[%d].KeyID", path, i))
	}
	if w.Rate > 0 && w.Burst < 1 {
		v.add(path+".Burst", "burst below 1 with a rate above 0 admits no request")
	}
}

// redactProblems returns the problems with all keys replaced.
func redactProblems(problems []document.Problem) []document.Problem {
	redacted := make([]document.Problem, 0, len(problems))
	for _, problem := range problems {
		problem.Message = Redact(problem.Message)
		problem.Path = Redact(problem.Path)
		problem.Value = Redact(problem.Value)
		redacted = append(redacted, problem)
	}
	return redacted
}

// checkUnique adds a violation if an entry of the same kind has the same ID. Kind
// describes the entry, for example "server". Missing IDs are reported elsewhere.
func checkUnique[T ~string](v *validator, kind string, id T, path string) {
	if id == "" {
		return
	}
	entry := kind + " " + string(id)
	if v.seen[entry] {
		v.add(path, entry+" is listed twice")
	}
	v.seen[entry] = true
}

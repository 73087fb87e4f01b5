package sheet

import (
	"fmt"

	"github.com/nutmegpier/nutmegpier/document"
)

// Largest accepted numbers of a sheet. They bound the arithmetic of the
// limits and the cost of an authentication.
const (
	maxConnections = 100_000
	maxIterations  = 1_000_000
	// maxKeyProblems bounds the report of keys in a sheet.
	maxKeyProblems = 100
	// maxPriority is far above the few classes of requests in use.
	maxPriority = 1000
	maxRate     = 10_000_000
	// maxRouteMilliseconds bounds ages and timeouts of routes to a day.
	maxRouteMilliseconds = 24 * 60 * 60 * 1000
	// maxSyncReplicas is above the size of any group.
	maxSyncReplicas = 100
	maxWeight       = 1000
	// minIterations is the smallest count that SCRAM-SHA-256 (RFC 7677) recommends.
	minIterations = 4096
)

// Rules returns the accepted values of each key of a sheet, ordered by key path.
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

// Parse reads a sheet. The error is an *Error with all problems; keys that
// were put into the sheet by mistake are redacted in it. The file name is used
// only in problems.
func Parse(file string, content []byte) (Sheet, error) {
	var parsed Sheet
	d := document.Decode(file, content, Rules(), &parsed)
	for _, fault := range Validate(parsed) {
		d.Add(fault.Path, fault.Message)
	}
	for _, found := range keyPattern.FindAllIndex(content, maxKeyProblems) {
		d.AddAt(found[0], "this looks like a key; only its verifier belongs in a sheet")
	}
	if problems := d.Problems(); len(problems) > 0 {
		return Sheet{}, &Error{Kind: KindInvalid, Op: "parse sheet", Problems: redactProblems(problems)}
	}
	return parsed, nil
}

// Violation is a contradiction inside a sheet.
type Violation struct {
	Message string
	// Path is the key path, for example "Workspaces[1].Keys[0].KeyID".
	Path string
}

// Validate returns the contradictions inside a sheet whose values are each accepted.
func Validate(s Sheet) []Violation {
	c := &checker{seen: map[string]bool{}}
	for i, dataCentre := range s.DataCentres {
		unique(c, "data centre", dataCentre.DataCentre, fmt.Sprintf("DataCentres[%d].DataCentre", i))
	}
	for i, database := range s.Databases {
		unique(c, "database", database.Database, fmt.Sprintf("Databases[%d].Database", i))
	}
	for i, route := range s.Routes {
		unique(c, "route for database", route.Database, fmt.Sprintf("Routes[%d].Database", i))
	}
	for i, server := range s.Servers {
		unique(c, "server", server.Server, fmt.Sprintf("Servers[%d].Server", i))
	}
	for i, workspace := range s.Workspaces {
		c.checkWorkspace(workspace, fmt.Sprintf("Workspaces[%d]", i))
	}
	return c.faults
}

type checker struct {
	faults []Violation
	seen   map[string]bool
}

func (c *checker) add(path, message string) {
	c.faults = append(c.faults, Violation{Message: message, Path: path})
}

func (c *checker) checkWorkspace(w Workspace, path string) {
	unique(c, "workspace", w.Workspace, path+".Workspace")
	for i, database := range w.Databases {
		unique(c, "database of workspace "+string(w.Workspace), database, fmt.Sprintf("%s.Databases[%d]", path, i))
	}
	for i, key := range w.Keys {
		unique(c, "key of workspace "+string(w.Workspace), key.KeyID, fmt.Sprintf("%s.Keys[%d].KeyID", path, i))
	}
	if w.Rate > 0 && w.Burst < 1 {
		c.add(path+".Burst", "burst below 1 with a rate above 0 admits no request")
	}
}

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

func unique[T ~string](c *checker, noun string, id T, path string) {
	if id == "" {
		return
	}
	entry := noun + " " + string(id)
	if c.seen[entry] {
		c.add(path, entry+" is listed twice")
	}
	c.seen[entry] = true
}

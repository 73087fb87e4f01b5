package settings

import (
	"time"

	"github.com/nutmegpier/nutmegpier/document"
)

// Unit is the unit of a setting.
type Unit string

// Units of settings.
const (
	UnitBytes       Unit = "bytes"
	UnitConnections Unit = "connections"
	UnitDuration    Unit = "duration"
	UnitEvents      Unit = "events"
	UnitNone        Unit = "-"
	UnitSessions    Unit = "sessions"
	UnitStatements  Unit = "statements"
)

// Setting describes one setting.
type Setting struct {
	// Meaning is one sentence for the reference page.
	Meaning string
	// Reload is true when a change takes effect without a restart.
	Reload bool
	// Rule holds key path, default and accepted values.
	Rule document.Rule
	Unit Unit
}

// Table returns the description of each setting, ordered by key path.
func Table() []Setting {
	return []Setting{
		{"Bearer tokens of the administration API. Without any, the API refuses all requests.", true, rule("Admin.Tokens"), UnitNone},
		{"What the token permits; each role includes the ones before it.", true, choice("Admin.Tokens[].Role", "", string(RoleRead), string(RoleOperate), string(RolePublish)), UnitNone},
		{"SHA-256 sum of the token. The token itself is not stored.", true, secret(required("Admin.Tokens[].TokenSHA256", document.FormatSHA256)), UnitNone},
		{"Time that one answer of a backend server may take before the connection is given up.", true, durations("Backend.AnswerTimeout", "30s", 10*time.Millisecond, time.Hour), UnitDuration},
		{"Time that opening a connection to a backend server may take.", true, durations("Backend.ConnectTimeout", "2s", 10*time.Millisecond, time.Minute), UnitDuration},
		{"Connections that may be in opening to one backend server at a time.", false, numbers("Backend.MaxOpenings", "4", 1, 1000), UnitConnections},
		{"File with the password for backend servers. Empty means no password.", false, text("Backend.PasswordFile", document.FormatPath), UnitNone},
		{"User name on backend servers.", false, required("Backend.User", document.FormatName), UnitNone},
		{"Data centre of the instance.", false, required("DataCentre", document.FormatName), UnitNone},
		{"Silence of a primary after which it is suspected to have failed.", false, durations("Detection.DetectTime", "900ms", 50*time.Millisecond, time.Minute), UnitDuration},
		{"Interval between status calls to a backend server.", false, durations("Detection.PollInterval", "250ms", 10*time.Millisecond, 10*time.Second), UnitDuration},
		{"Interval between status calls while the primary is silent.", false, durations("Detection.SuspectInterval", "50ms", 5*time.Millisecond, 10*time.Second), UnitDuration},
		{"Database groups.", false, list("Groups"), UnitNone},
		{"Connection budget of the database over all instances, split over its servers.", true, numbers("Groups[].Connections", "20", 1, 100000), UnitConnections},
		{"Name of the group, which is the database name of callers.", false, required("Groups[].Group", document.FormatName), UnitNone},
		{"Servers of the group.", false, list("Groups[].Servers"), UnitNone},
		{"Address of the server.", false, required("Groups[].Servers[].Address", document.FormatAddress), UnitNone},
		{"Data centre of the server.", false, required("Groups[].Servers[].DataCentre", document.FormatName), UnitNone},
		{"Name of the server, unique over all groups.", false, required("Groups[].Servers[].Server", document.FormatName), UnitNone},
		{"Statements that one server runs at a time. 0 means as many as there are connections.", true, numbers("Groups[].Slots", "3", 0, 10000), UnitStatements},
		{"Name of the instance, unique in the deployment.", false, required("Instance", document.FormatName), UnitNone},
		{"Largest message accepted from a caller.", false, numbers("Limits.MaxMessageBytes", "16777216", 1024, 1<<30), UnitBytes},
		{"Largest number of open caller sessions of the instance.", false, numbers("Limits.MaxSessions", "100000", 1, 10000000), UnitSessions},
		{"Time that a request may wait for a connection, counted from its arrival.", false, durations("Limits.QueueTimeout", "5s", time.Millisecond, 10*time.Minute), UnitDuration},
		{"Address of the administration API.", false, required("Listen.Admin", document.FormatAddress), UnitNone},
		{"Address for callers.", false, required("Listen.Callers", document.FormatAddress), UnitNone},
		{"Address for other instances.", false, required("Listen.Peers", document.FormatAddress), UnitNone},
		{"Form of log lines.", false, choice("Log.Format", "text", "text", "json"), UnitNone},
		{"Lowest level that is logged.", false, choice("Log.Level", "info", "debug", "info", "warning", "error"), UnitNone},
		{"Time that one call to the platform's service may take.", false, durations("Platform.Timeout", "2s", 10*time.Millisecond, time.Minute), UnitDuration},
		{"URL of the platform's service.", false, required("Platform.URL", document.FormatURL), UnitNone},
		{"Accepts keys in cleartext, over TLS only.", false, rule("TLS.AllowCleartextKeys"), UnitNone},
		{"Certificate shown to callers. Empty means no TLS for callers.", false, text("TLS.Callers.CertFile", document.FormatPath), UnitNone},
		{"Private key of the certificate shown to callers.", false, text("TLS.Callers.KeyFile", document.FormatPath), UnitNone},
		{"Certificate authority of all instances. Empty means no TLS between instances.", false, text("TLS.Peers.CAFile", document.FormatPath), UnitNone},
		{"Certificate shown to other instances.", false, text("TLS.Peers.CertFile", document.FormatPath), UnitNone},
		{"Private key of the certificate shown to other instances.", false, text("TLS.Peers.KeyFile", document.FormatPath), UnitNone},
		{"Events kept in memory for the timeline; debug events have as much room of their own.", false, numbers("Timeline.Capacity", "10000", 16, 1000000), UnitEvents},
		{"Time to find out whether a commit took effect before its outcome is reported as unknown.", true, durations("Timeouts.CommitBound", "5s", 10*time.Millisecond, 10*time.Minute), UnitDuration},
		{"Time that a read waits for a fresh replica before it goes to the primary.", true, durations("Timeouts.FreshWait", "20ms", 0, 10*time.Second), UnitDuration},
		{"Time after which an idle caller session outside a transaction is closed. 0s means never.", false, durations("Timeouts.Idle", "0s", 0, 7*24*time.Hour), UnitDuration},
		{"Time after which a caller session that sends nothing inside a transaction is closed. The transaction is rolled back.", false, durations("Timeouts.IdleInTransaction", "1m", 100*time.Millisecond, 24*time.Hour), UnitDuration},
		{"Time that a caller has for start-up and authentication.", false, durations("Timeouts.Startup", "10s", 10*time.Millisecond, 10*time.Minute), UnitDuration},
		{"Time that running transactions have to finish at a planned stop.", true, durations("Timeouts.StopBound", "30s", 0, time.Hour), UnitDuration},
		{"Time for which the instance serves after it last proved that its sheet is in force.", false, durations("Timeouts.ValidityLease", "3s", 100*time.Millisecond, time.Minute), UnitDuration},
	}
}

func rules() []document.Rule {
	table := Table()
	all := make([]document.Rule, 0, len(table))
	for _, setting := range table {
		all = append(all, setting.Rule)
	}
	return all
}

func choice(path, defaultText string, choices ...string) document.Rule {
	return document.Rule{Choices: choices, Default: defaultText, Path: path, Required: defaultText == ""}
}

func durations(path, defaultText string, shortest, longest time.Duration) document.Rule {
	return document.Rule{Default: defaultText, Max: float64(longest), Min: float64(shortest), Path: path}
}

func list(path string) document.Rule {
	return document.Rule{Path: path, Required: true}
}

func numbers(path, defaultText string, least, most float64) document.Rule {
	return document.Rule{Default: defaultText, Max: most, Min: least, Path: path}
}

func required(path string, format document.Format) document.Rule {
	return document.Rule{Format: format, Path: path, Required: true}
}

func rule(path string) document.Rule {
	return document.Rule{Path: path}
}

func secret(r document.Rule) document.Rule {
	r.Secret = true
	return r
}

func text(path string, format document.Format) document.Rule {
	return document.Rule{Format: format, Path: path}
}

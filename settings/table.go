package settings

import (
	"time"

	"github.com/nutmegpier/nutmegpier/document"
)

// Unit is the unit of a setting on the reference page.
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

// Setting describes one setting for parsing and for the reference page.
type Setting struct {
	// Meaning is the description on the reference page.
	Meaning string
	// Reload is true if a change takes effect without a restart.
	Reload bool
	// Rule holds the key path, the default and the accepted values.
	Rule document.Rule
	Unit Unit
}

// Table returns the descriptions of all settings, ordered by key path.
func Table() []Setting {
	return []Setting{
		{"Bearer tokens of the administration API. Without any, the API refuses all requests.", true, optionalRule("Admin.Tokens"), UnitNone},
		{"Role of the token. Operate includes Read, and Publish includes Operate.", true, choiceRule("Admin.Tokens[].Role", "", string(RoleRead), string(RoleOperate), string(RolePublish)), UnitNone},
		{"SHA-256 digest of the token. The token itself is not stored.", true, secretRule(requiredRule("Admin.Tokens[].TokenSHA256", document.FormatSHA256)), UnitNone},
		{"Maximum time of each wait for data of a response from a backend server, and of each write to it. After it, the connection is closed. A reload applies to new connections.", true, durationRule("Backend.AnswerTimeout", "30s", 10*time.Millisecond, time.Hour), UnitDuration},
		{"Maximum time to open a connection to a backend server, including authentication.", true, durationRule("Backend.ConnectTimeout", "2s", 10*time.Millisecond, time.Minute), UnitDuration},
		{"Maximum number of connections that are being opened to one backend server at the same time.", false, numberRule("Backend.MaxOpenings", "4", 1, 1000), UnitConnections},
		{"File that contains the password for backend servers. Empty means no password.", false, textRule("Backend.PasswordFile", document.FormatPath), UnitNone},
		{"User name on backend servers.", false, requiredRule("Backend.User", document.FormatName), UnitNone},
		{"Data centre of the instance.", false, requiredRule("DataCentre", document.FormatName), UnitNone},
		{"Time without a response or heartbeat after which a primary counts as failed.", false, durationRule("Detection.DetectTime", "900ms", 50*time.Millisecond, time.Minute), UnitDuration},
		{"Interval between status requests to a backend server while the primary is healthy.", false, durationRule("Detection.PollInterval", "250ms", 10*time.Millisecond, 10*time.Second), UnitDuration},
		{"Interval between status requests while the primary is suspected or has failed.", false, durationRule("Detection.SuspectInterval", "50ms", 5*time.Millisecond, 10*time.Second), UnitDuration},
		{"Database groups.", false, listRule("Groups"), UnitNone},
		{"Connection budget of the group over all instances. It is divided among the servers of the group.", true, numberRule("Groups[].Connections", "20", 1, 100000), UnitConnections},
		{"Name of the group. Callers use it as the database name.", false, requiredRule("Groups[].Group", document.FormatName), UnitNone},
		{"Backend servers of the group.", false, listRule("Groups[].Servers"), UnitNone},
		{"Address of the backend server.", false, requiredRule("Groups[].Servers[].Address", document.FormatAddress), UnitNone},
		{"Data centre of the backend server.", false, requiredRule("Groups[].Servers[].DataCentre", document.FormatName), UnitNone},
		{"Name of the backend server, unique among the servers of all groups.", false, requiredRule("Groups[].Servers[].Server", document.FormatName), UnitNone},
		{"Maximum number of connections to one server that this instance uses at the same time, each for one statement at a time. 0 means all connections that it may open.", true, numberRule("Groups[].Slots", "3", 0, 10000), UnitStatements},
		{"Name of the instance, unique in the deployment.", false, requiredRule("Instance", document.FormatName), UnitNone},
		{"Maximum bytes that the messages of all callers hold together, where each message above 4 KiB counts twice. Above it, the callers that hold the most are disconnected, except while a backend server runs their request. 0 means 32 MiB, or twice `Limits.MaxMessageBytes` if that is more. Other values must be at least twice `Limits.MaxMessageBytes`.", false, numberRule("Limits.CallerBytes", "0", 0, 1<<40), UnitBytes},
		{"Maximum size of a message from a caller, of all its messages up to a Sync together, and of the prepared statements of a session.", false, numberRule("Limits.MaxMessageBytes", "16777216", 1024, 1<<30), UnitBytes},
		{"Maximum number of connections from callers, including those that are not authenticated yet. Further ones are refused. All connections together are also limited to half of the descriptor limit of the process, where a new one replaces the oldest one that is not authenticated yet.", false, numberRule("Limits.MaxSessions", "100000", 1, 10000000), UnitSessions},
		{"Maximum time that a request waits for a connection, counted from its arrival.", false, durationRule("Limits.QueueTimeout", "5s", time.Millisecond, 10*time.Minute), UnitDuration},
		{"Address on which the instance serves the administration API.", false, requiredRule("Listen.Admin", document.FormatAddress), UnitNone},
		{"Address on which the instance accepts connections from callers.", false, requiredRule("Listen.Callers", document.FormatAddress), UnitNone},
		{"Address on which the instance accepts connections from other instances.", false, requiredRule("Listen.Peers", document.FormatAddress), UnitNone},
		{"Format of log lines.", false, choiceRule("Log.Format", "text", "text", "json"), UnitNone},
		{"Minimum level of logged events.", false, choiceRule("Log.Level", "info", "debug", "info", "warning", "error"), UnitNone},
		{"Maximum time of one call to the platform's service.", false, durationRule("Platform.Timeout", "2s", 10*time.Millisecond, time.Minute), UnitDuration},
		{"URL of the platform's service.", false, requiredRule("Platform.URL", document.FormatURL), UnitNone},
		{"Whether callers that connect with TLS send their key in cleartext, in place of SCRAM authentication. Requires TLS for callers.", false, optionalRule("TLS.AllowCleartextKeys"), UnitNone},
		{"File with the certificate that is presented to callers. Empty disables TLS for callers.", false, textRule("TLS.Callers.CertFile", document.FormatPath), UnitNone},
		{"File with the private key of the certificate for callers.", false, textRule("TLS.Callers.KeyFile", document.FormatPath), UnitNone},
		{"File with the CA certificate that all instances trust. Empty disables TLS between instances.", false, textRule("TLS.Peers.CAFile", document.FormatPath), UnitNone},
		{"File with the certificate that is presented to other instances.", false, textRule("TLS.Peers.CertFile", document.FormatPath), UnitNone},
		{"File with the private key of the certificate for other instances.", false, textRule("TLS.Peers.KeyFile", document.FormatPath), UnitNone},
		{"Maximum number of events kept in memory for the timeline. Debug events are counted separately, with the same maximum.", false, numberRule("Timeline.Capacity", "10000", 16, 1000000), UnitEvents},
		{"Maximum time to find out whether a commit took effect. After it, the outcome is reported as unknown.", true, durationRule("Timeouts.CommitBound", "5s", 10*time.Millisecond, 10*time.Minute), UnitDuration},
		{"Maximum time that a read waits for a sufficiently fresh replica. After it, the read goes to the primary.", true, durationRule("Timeouts.FreshWait", "20ms", 0, 10*time.Second), UnitDuration},
		{"Time after which an idle caller session outside a transaction is closed. 0s means never.", false, durationRule("Timeouts.Idle", "0s", 0, 7*24*time.Hour), UnitDuration},
		{"Time after which a caller session that sends nothing inside a transaction is closed and the transaction is rolled back. Currently ignored: the time is always `1m`, or `Timeouts.Idle` if that is shorter.", false, durationRule("Timeouts.IdleInTransaction", "1m", 100*time.Millisecond, 24*time.Hour), UnitDuration},
		{"Maximum time for the connection start-up and authentication of a caller.", false, durationRule("Timeouts.Startup", "10s", 10*time.Millisecond, 10*time.Minute), UnitDuration},
		{"Maximum time that running transactions have to finish at a planned stop, and while the data centre is out of service. A reload applies only to planned stops and can only shorten the time.", true, durationRule("Timeouts.StopBound", "30s", 0, time.Hour), UnitDuration},
		{"Duration of the validity lease: how long the instance may serve after it last confirmed that it holds the newest sheet and roster.", false, durationRule("Timeouts.ValidityLease", "3s", 100*time.Millisecond, time.Minute), UnitDuration},
	}
}

// rules returns the rules of all settings.
func rules() []document.Rule {
	table := Table()
	all := make([]document.Rule, 0, len(table))
	for _, setting := range table {
		all = append(all, setting.Rule)
	}
	return all
}

// choiceRule returns the rule of a setting with a fixed set of values. It is required
// if it has no default.
func choiceRule(path, defaultText string, choices ...string) document.Rule {
	return document.Rule{Choices: choices, Default: defaultText, Path: path, Required: defaultText == ""}
}

func durationRule(path, defaultText string, minimum, maximum time.Duration) document.Rule {
	return document.Rule{Default: defaultText, Max: float64(maximum), Min: float64(minimum), Path: path}
}

// listRule returns the rule of a list that must not be empty.
func listRule(path string) document.Rule {
	return document.Rule{Path: path, Required: true}
}

func numberRule(path, defaultText string, minimum, maximum float64) document.Rule {
	return document.Rule{Default: defaultText, Max: maximum, Min: minimum, Path: path}
}

func requiredRule(path string, format document.Format) document.Rule {
	return document.Rule{Format: format, Path: path, Required: true}
}

// optionalRule returns the rule of a setting that accepts all values of its type.
func optionalRule(path string) document.Rule {
	return document.Rule{Path: path}
}

func secretRule(r document.Rule) document.Rule {
	r.Secret = true
	return r
}

func textRule(path string, format document.Format) document.Rule {
	return document.Rule{Format: format, Path: path}
}

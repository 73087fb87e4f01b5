package settings

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/nutmegpier/nutmegpier/document"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid means that the settings are not valid.
const KindInvalid Kind = "Invalid"

// Error lists all problems of a settings file.
type Error struct {
	Kind Kind
	// Op is the operation that failed.
	Op       string
	Problems []document.Problem
}

// Error returns the operation and one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return fmt.Sprintf("%s: %d problems\n%s", e.Op, len(e.Problems), strings.Join(lines, "\n"))
}

// Parse parses and validates a settings file. Missing settings get their defaults.
// The error is an *Error that lists all problems. The file name is used only in
// problems.
func Parse(file string, content []byte) (Settings, error) {
	var parsed Settings
	d := document.Decode(file, content, rules(), &parsed)
	checkAddresses(d, parsed)
	checkGroups(d, parsed.Groups)
	checkLimits(d, parsed.Limits)
	checkTLS(d, parsed.TLS)
	checkTimes(d, parsed)
	if problems := d.Problems(); len(problems) > 0 {
		return Settings{}, &Error{Kind: KindInvalid, Op: "parse settings", Problems: problems}
	}
	return parsed, nil
}

// checkAddresses reports addresses that are used twice.
func checkAddresses(d *document.Document, s Settings) {
	used := map[string]string{}
	checkUnused := func(path, address string) {
		if address == "" || isPortZero(address) {
			return
		}
		if other, taken := used[address]; taken {
			d.Add(path, "address "+address+" is already used by "+other)
			return
		}
		used[address] = path
	}
	checkUnused("Listen.Admin", s.Listen.Admin)
	checkUnused("Listen.Callers", s.Listen.Callers)
	checkUnused("Listen.Peers", s.Listen.Peers)
	for i, group := range s.Groups {
		for j, server := range group.Servers {
			checkUnused(fmt.Sprintf("Groups[%d].Servers[%d].Address", i, j), server.Address)
		}
	}
}

// isPortZero reports whether the operating system chooses the port. Equal addresses
// do not conflict then.
func isPortZero(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() == 0
}

// checkGroups reports duplicate IDs, and connection budgets that do not suffice for
// one connection to each server.
func checkGroups(d *document.Document, groups []Group) {
	groupPaths := map[fleet.GroupID]string{}
	serverPaths := map[fleet.ServerID]string{}
	for i, group := range groups {
		path := fmt.Sprintf("Groups[%d]", i)
		checkUnique(d, groupPaths, group.Group, path+".Group", "group")
		for j, server := range group.Servers {
			checkUnique(d, serverPaths, server.Server, fmt.Sprintf("%s.Servers[%d].Server", path, j), "server")
		}
		if group.Connections > 0 && group.Connections < len(group.Servers) {
			d.Add(path+".Connections", fmt.Sprintf("%d connections are fewer than the %d servers of the group", group.Connections, len(group.Servers)))
		}
	}
}

// checkLimits reports a limit on the bytes of callers that refuses a single message of the
// largest size, which counts twice.
func checkLimits(d *document.Document, limits Limits) {
	if limits.CallerBytes > 0 && limits.CallerBytes < 2*limits.MaxMessageBytes {
		d.Add("Limits.CallerBytes", fmt.Sprintf("%d is below twice Limits.MaxMessageBytes (%d)", limits.CallerBytes, limits.MaxMessageBytes))
	}
}

// checkUnique reports an ID that is already in paths, and adds it otherwise. Kind is
// "group" or "server". Missing IDs are reported elsewhere.
func checkUnique[T ~string](d *document.Document, paths map[T]string, id T, path, kind string) {
	if id == "" {
		return
	}
	if other, taken := paths[id]; taken {
		d.Add(path, fmt.Sprintf("%s %s is already defined at %s", kind, id, other))
		return
	}
	paths[id] = path
}

// checkTLS reports TLS settings that are incomplete, and cleartext keys without TLS.
func checkTLS(d *document.Document, tls TLS) {
	if (tls.Callers.CertFile == "") != (tls.Callers.KeyFile == "") {
		d.Add("TLS.Callers", "CertFile and KeyFile must be set together")
	}
	if tls.AllowCleartextKeys && tls.Callers.CertFile == "" {
		d.Add("TLS.AllowCleartextKeys", "cleartext keys need TLS for callers: TLS.Callers.CertFile is empty")
	}
	peers := tls.Peers
	complete := peers.CAFile != "" && peers.CertFile != "" && peers.KeyFile != ""
	if !complete && peers != (PeerTLS{}) {
		d.Add("TLS.Peers", "CAFile, CertFile and KeyFile must be set together")
	}
}

// checkTimes reports durations that contradict each other.
func checkTimes(d *document.Document, s Settings) {
	detection := s.Detection
	if detection.SuspectInterval > 0 && detection.DetectTime > 0 && detection.SuspectInterval >= detection.DetectTime {
		d.Add("Detection.SuspectInterval", fmt.Sprintf("%s is not below Detection.DetectTime (%s)", detection.SuspectInterval, detection.DetectTime))
	}
	if detection.SuspectInterval > 0 && detection.PollInterval > 0 && detection.SuspectInterval > detection.PollInterval {
		d.Add("Detection.SuspectInterval", fmt.Sprintf("%s is above Detection.PollInterval (%s)", detection.SuspectInterval, detection.PollInterval))
	}
	if s.Limits.QueueTimeout > 0 && s.Timeouts.FreshWait >= s.Limits.QueueTimeout {
		d.Add("Timeouts.FreshWait", fmt.Sprintf("%s is not below Limits.QueueTimeout (%s)", s.Timeouts.FreshWait, s.Limits.QueueTimeout))
	}
}

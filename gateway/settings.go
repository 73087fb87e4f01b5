package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/document"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// Settings holds the settings of an instance. The file format is JSON with
// comments, and the keys are in Pascal case.
type Settings struct {
	// Callers holds the limits of what callers hold.
	Callers    CallerSettings
	DataCentre fleet.DataCentre
	Instance   fleet.InstanceID
	// KeyLease is how long keys are accepted after the sheet was last verified
	// to be the latest version.
	KeyLease time.Duration
	// LinkMegabits is the speed of the instance's network link in Mbit/s. Zero means that
	// it is not known. It bounds the whole tables that the instance relays, and relays and
	// owners are chosen by it.
	LinkMegabits float64
	Listen       Listen
	Log          LogSettings
	// MemoryLimit is the memory limit of the instance in megabytes. The soft
	// memory limit of the Go runtime is set to half of it.
	MemoryLimit int
	// ProcessorShare is the processor time that the instance may use, in cores.
	// Instances with a large share work for the others.
	ProcessorShare float64
	// PromotionAddress is the address to which promotion orders are sent.
	PromotionAddress string
	// StopBound is the time that a planned stop may take before the process is
	// killed.
	StopBound time.Duration
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// TransactionIdle is the idle timeout of transactions. It applies if the sheet
	// sets none.
	TransactionIdle time.Duration
	Usage           UsageSettings
}

// UsageSettings holds the settings of the usage reports.
type UsageSettings struct {
	// Late is how long after the end of a window its report is due.
	Late time.Duration
	// Window is the length of the windows of true time. If it is zero, no usage is
	// reported.
	Window time.Duration
}

// CallerSettings holds the limits of what all callers hold together. Zero means that a
// limit is derived from the memory limit or the descriptor limit of the process.
type CallerSettings struct {
	// MaxBytes limits the bytes of incomplete or large messages, large responses and
	// session state. Zero means a sixth of MemoryLimit.
	MaxBytes int
	// MaxConnections limits the connections on Listen.Callers. Zero means half of the
	// descriptors of the process.
	MaxConnections int
	// MaxStateBytes limits the variables and prepared statements of one session.
	MaxStateBytes int
}

// Listen holds the listen addresses of the instance.
type Listen struct {
	// Callers is the address for database clients.
	Callers string
	// Metrics serves counters and histograms over HTTP. If it is empty, they are
	// not served.
	Metrics string
	// Peers is the address for requests of other instances: over UDP for tokens
	// from rate limit pools, and over TCP for table changes read from the store.
	// If it is empty, this instance serves no such requests and sends none.
	Peers string
	// Ready serves the readiness probe.
	Ready string
}

// LogSettings holds the settings of the log.
type LogSettings struct {
	// LinesPerSecond limits the log lines about individual requests.
	LinesPerSecond int
}

// Rules returns the validation rules of the settings, ordered by key path.
func Rules() []document.Rule {
	return []document.Rule{
		{Path: "Callers.MaxBytes", Default: "0", Min: 0, Max: 1 << 40},
		{Path: "Callers.MaxConnections", Default: "0", Min: 0, Max: 1 << 20},
		{Path: "Callers.MaxStateBytes", Default: "4194304", Min: 4096, Max: 1 << 30},
		{Path: "DataCentre", Format: document.FormatName, Required: true},
		{Path: "Instance", Format: document.FormatName, Required: true},
		{Path: "KeyLease", Default: "4.5s", Min: float64(100 * time.Millisecond), Max: float64(time.Minute)},
		{Path: "LinkMegabits", Default: "0", Min: 0, Max: 1_000_000},
		{Path: "Listen.Callers", Format: document.FormatAddress, Required: true},
		{Path: "Listen.Metrics", Format: document.FormatAddress},
		{Path: "Listen.Peers", Format: document.FormatAddress},
		{Path: "Listen.Ready", Format: document.FormatAddress, Required: true},
		{Path: "Log.LinesPerSecond", Default: "20", Min: 0, Max: 100_000},
		{Path: "MemoryLimit", Default: "284", Min: 16, Max: 1 << 20},
		{Path: "ProcessorShare", Default: "1", Min: 0.01, Max: 1024},
		{Path: "PromotionAddress", Format: document.FormatAddress, Required: true},
		{Path: "StopBound", Default: "6s", Min: float64(time.Second), Max: float64(time.Hour)},
		{Path: "StoreAddress", Format: document.FormatAddress, Required: true},
		{Path: "TransactionIdle", Default: "3s", Min: float64(100 * time.Millisecond), Max: float64(time.Hour)},
		{Path: "Usage.Late", Default: "10s", Min: float64(2 * time.Second), Max: float64(time.Hour)},
		{Path: "Usage.Window", Default: "0s", Min: 0, Max: float64(time.Hour)},
	}
}

// ParseSettings parses and validates a settings file. The error lists all
// problems.
func ParseSettings(file string, content []byte) (Settings, error) {
	var settings Settings
	d := document.Decode(file, content, Rules(), &settings)
	if problems := d.Problems(); len(problems) > 0 {
		return Settings{}, &Error{Err: joinProblems(problems), Kind: KindInvalid, Op: "parse settings"}
	}
	if err := settings.checkCallers(); err != nil {
		return Settings{}, &Error{Err: err, Kind: KindInvalid, Op: "parse settings"}
	}
	return settings, nil
}

// checkCallers checks that the limit on bytes admits a message of the largest size, which
// counts twice, and leaves half of the memory.
func (s Settings) checkCallers() error {
	const megabyte = 1 << 20
	limit := s.Callers.MaxBytes
	if limit == 0 || (limit >= 4*megabyte && limit <= s.MemoryLimit*megabyte/2) {
		return nil
	}
	return fmt.Errorf("Callers.MaxBytes: %d is not 0 or from 4 MiB to half of MemoryLimit", limit)
}

func joinProblems(problems []document.Problem) error {
	var all []error
	for _, problem := range problems {
		all = append(all, errors.New(problem.String()))
	}
	return errors.Join(all...)
}

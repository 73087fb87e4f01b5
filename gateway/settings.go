package gateway

import (
	"errors"
	"time"

	"github.com/nutmegpier/nutmegpier/document"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// Settings are the settings of an instance: JSON with comments, with
// Pascal-case keys.
type Settings struct {
	DataCentre fleet.DataCentre
	Instance   fleet.InstanceID
	// KeyLease is how long keys are accepted after the sheet was last proved
	// to be the newest one.
	KeyLease time.Duration
	Listen   Listen
	Log      LogSettings
	// MemoryLimit is in megabytes; the runtime collects garbage to stay under
	// half of it.
	MemoryLimit int
	// PromotionAddress is where promotion orders go.
	PromotionAddress string
	// StopBound bounds a planned stop, until the process is killed.
	StopBound time.Duration
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// TransactionIdle ends transactions that are idle for longer, where the
	// sheet says nothing.
	TransactionIdle time.Duration
}

// Listen holds the addresses on which the instance listens.
type Listen struct {
	Callers string
	// Metrics serves counters and histograms; empty means not at all.
	Metrics string
	// PeerTransport is where other instances ask this one, over UDP for parts of limits
	// and over TCP for what it has read from the store; empty means that nobody
	// is asked.
	Peers string
	Ready string
}

// LogSettings hold the settings of the log.
type LogSettings struct {
	// LinesPerSecond bounds the lines about single requests.
	LinesPerSecond int
}

// Rules returns the accepted values of each key, ordered by key path.
func Rules() []document.Rule {
	return []document.Rule{
		{Path: "DataCentre", Format: document.FormatName, Required: true},
		{Path: "Instance", Format: document.FormatName, Required: true},
		{Path: "KeyLease", Default: "4.5s", Min: float64(100 * time.Millisecond), Max: float64(time.Minute)},
		{Path: "Listen.Callers", Format: document.FormatAddress, Required: true},
		{Path: "Listen.Metrics", Format: document.FormatAddress},
		{Path: "Listen.Peers", Format: document.FormatAddress},
		{Path: "Listen.Ready", Format: document.FormatAddress, Required: true},
		{Path: "Log.LinesPerSecond", Default: "20", Min: 0, Max: 100_000},
		{Path: "MemoryLimit", Default: "284", Min: 16, Max: 1 << 20},
		{Path: "PromotionAddress", Format: document.FormatAddress, Required: true},
		{Path: "StopBound", Default: "6s", Min: float64(time.Second), Max: float64(time.Hour)},
		{Path: "StoreAddress", Format: document.FormatAddress, Required: true},
		{Path: "TransactionIdle", Default: "3s", Min: float64(100 * time.Millisecond), Max: float64(time.Hour)},
	}
}

// ParseSettings reads a settings file. The error names all problems.
func ParseSettings(file string, content []byte) (Settings, error) {
	var settings Settings
	d := document.Decode(file, content, Rules(), &settings)
	if problems := d.Problems(); len(problems) > 0 {
		return Settings{}, &Error{Err: joinProblems(problems), Kind: KindInvalid, Op: "parse settings"}
	}
	return settings, nil
}

func joinProblems(problems []document.Problem) error {
	var all []error
	for _, problem := range problems {
		all = append(all, errors.New(problem.String()))
	}
	return errors.Join(all...)
}

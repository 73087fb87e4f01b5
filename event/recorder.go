package event

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// Clock returns the current wall time.
type Clock func() time.Time

// Recorder logs events and keeps the latest ones. It is safe for concurrent use.
type Recorder struct {
	clock    Clock
	entries  map[Number]Entry
	epoch    fleet.Epoch
	instance fleet.InstanceID
	logger   *logrus.Logger

	mu sync.Mutex
	// debug keeps the events that come with single requests, so that a flood
	// of them does not push out the events of a failover.
	debug ring
	other ring
	stamp Stamp
}

// New returns a recorder that keeps the latest events: up to capacity of level
// debug, and up to capacity of the other levels.
func New(instance fleet.InstanceID, epoch fleet.Epoch, clock Clock, logger *logrus.Logger, capacity int) *Recorder {
	entries := map[Number]Entry{}
	for _, e := range Catalogue() {
		entries[e.Number] = e
	}
	return &Recorder{
		clock:    clock,
		debug:    ring{size: max(capacity, 1)},
		entries:  entries,
		epoch:    epoch,
		instance: instance,
		logger:   logger,
		other:    ring{size: max(capacity, 1)},
	}
}

// NewLogger returns a logger for the format "text" or "json". A level that
// logrus does not know counts as info.
func NewLogger(out io.Writer, format string, level Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	if format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	}
	parsed, err := logrus.ParseLevel(string(level))
	if err != nil {
		parsed = logrus.InfoLevel
	}
	logger.SetLevel(parsed)
	return logger
}

// Events returns the kept events that match the filter, oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return filter.limit(Merge(r.debug.matching(filter), r.other.matching(filter)))
}

// Observe takes in a stamp of another instance. Stamps taken later are later
// than it.
func (r *Recorder) Observe(observed Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stamp = r.stamp.next(observed, r.clock())
}

// Record logs an event and keeps it. Keys in text fields are redacted. A
// number that is not in the catalogue is recorded as an error without a name.
func (r *Recorder) Record(number Number, fields Fields) {
	described, known := r.entries[number]
	if !known {
		described = Entry{Level: LevelError, Number: number}
	}
	e := Event{
		Epoch:    r.epoch,
		Fields:   redact(fields),
		Instance: r.instance,
		Level:    described.Level,
		Name:     described.Name,
		Number:   number,
	}
	r.keep(&e)
	r.log(e)
}

// Stamp returns a new stamp for a message to another instance.
func (r *Recorder) Stamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stamp = r.stamp.next(Stamp{}, r.clock())
	return r.stamp
}

// keep stamps the event and puts it in the ring.
func (r *Recorder) keep(e *Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.clock()
	r.stamp = r.stamp.next(Stamp{}, e.Time)
	e.Stamp = r.stamp
	if e.Level == LevelDebug {
		r.debug.add(*e)
		return
	}
	r.other.add(*e)
}

func (r *Recorder) log(e Event) {
	level, err := logrus.ParseLevel(string(e.Level))
	if err != nil || !r.logger.IsLevelEnabled(level) {
		return
	}
	r.logger.WithTime(e.Time).WithFields(logFields(e)).Log(level, string(e.Name))
}

func logFields(e Event) logrus.Fields {
	fields := logrus.Fields{
		"Epoch":    uint64(e.Epoch),
		"Event":    uint32(e.Number),
		"Instance": string(e.Instance),
		"Stamp":    e.Stamp.String(),
	}
	put := func(name, value string) {
		if value != "" {
			fields[name] = value
		}
	}
	put("Database", string(e.Database))
	put("Request", e.Request)
	put("Server", string(e.Server))
	put("Session", e.Session)
	put("Text", e.Text)
	put("Workspace", string(e.Workspace))
	if e.Term != 0 {
		fields["Term"] = uint64(e.Term)
	}
	if !e.Position.IsZero() {
		fields["Position"] = e.Position.String()
	}
	return fields
}

func redact(fields Fields) Fields {
	fields.Database = fleet.GroupID(sheet.Redact(string(fields.Database)))
	fields.Request = sheet.Redact(fields.Request)
	fields.Server = fleet.ServerID(sheet.Redact(string(fields.Server)))
	fields.Session = sheet.Redact(fields.Session)
	fields.Text = sheet.Redact(fields.Text)
	fields.Workspace = fleet.WorkspaceID(sheet.Redact(string(fields.Workspace)))
	return fields
}

package event

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// Clock returns the current wall-clock time.
type Clock func() time.Time

// Recorder logs events and stores the latest ones. It is safe for concurrent use.
type Recorder struct {
	clock    Clock
	entries  map[Number]Entry
	epoch    fleet.Epoch
	instance fleet.InstanceID
	logger   *logrus.Logger

	mu sync.Mutex
	// debugRing stores the events of level debug, which are recorded for single
	// requests. It is separate so that many of them do not push out the events
	// of a failover.
	debugRing ring
	mainRing  ring
	stamp     Stamp
}

// New returns a recorder that stores the latest events: up to capacity events of
// level debug, and up to capacity events of the other levels.
func New(instance fleet.InstanceID, epoch fleet.Epoch, clock Clock, logger *logrus.Logger, capacity int) *Recorder {
	entries := map[Number]Entry{}
	for _, e := range Catalogue() {
		entries[e.Number] = e
	}
	return &Recorder{
		clock:     clock,
		debugRing: ring{size: max(capacity, 1)},
		entries:   entries,
		epoch:     epoch,
		instance:  instance,
		logger:    logger,
		mainRing:  ring{size: max(capacity, 1)},
	}
}

// NewLogger returns a logger that writes the format "json", or text for any other
// format. An unknown level means info.
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

// Events returns the stored events that match the filter, oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return filter.limit(Merge(r.debugRing.matching(filter), r.mainRing.matching(filter)))
}

// Observe advances the clock of the recorder past a stamp from another instance, so
// that all later stamps are greater.
func (r *Recorder) Observe(observed Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stamp = r.stamp.next(observed, r.clock())
}

// Record logs and stores an event. Callers' keys in its fields are redacted. An event
// whose number is not in the catalogue is recorded at level error without a name.
func (r *Recorder) Record(number Number, fields Fields) {
	entry, known := r.entries[number]
	if !known {
		entry = Entry{Level: LevelError, Number: number}
	}
	e := Event{
		Epoch:    r.epoch,
		Fields:   redact(fields),
		Instance: r.instance,
		Level:    entry.Level,
		Name:     entry.Name,
		Number:   number,
	}
	r.store(&e)
	r.log(e)
}

// Stamp returns a new stamp, to be sent with a message to another instance.
func (r *Recorder) Stamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stamp = r.stamp.next(Stamp{}, r.clock())
	return r.stamp
}

// store sets the time and stamp of an event and adds it to its ring.
func (r *Recorder) store(e *Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.clock()
	r.stamp = r.stamp.next(Stamp{}, e.Time)
	e.Stamp = r.stamp
	if e.Level == LevelDebug {
		r.debugRing.add(*e)
		return
	}
	r.mainRing.add(*e)
}

// log writes an event to the log if its level is enabled.
func (r *Recorder) log(e Event) {
	level, err := logrus.ParseLevel(string(e.Level))
	if err != nil || !r.logger.IsLevelEnabled(level) {
		return
	}
	r.logger.WithTime(e.Time).WithFields(logFields(e)).Log(level, string(e.Name))
}

// logFields returns the fields of an event's log line, without empty ones.
func logFields(e Event) logrus.Fields {
	fields := logrus.Fields{
		"Epoch":    uint64(e.Epoch),
		"Event":    uint32(e.Number),
		"Instance": string(e.Instance),
		"Stamp":    e.Stamp.String(),
	}
	setNonEmpty := func(name, value string) {
		if value != "" {
			fields[name] = value
		}
	}
	setNonEmpty("Database", string(e.Database))
	setNonEmpty("Request", e.Request)
	setNonEmpty("Server", string(e.Server))
	setNonEmpty("Session", e.Session)
	setNonEmpty("Text", e.Text)
	setNonEmpty("Workspace", string(e.Workspace))
	if e.Term != 0 {
		fields["Term"] = uint64(e.Term)
	}
	if !e.Position.IsZero() {
		fields["Position"] = e.Position.String()
	}
	return fields
}

// redact returns the fields with callers' keys replaced.
func redact(fields Fields) Fields {
	fields.Database = fleet.GroupID(sheet.Redact(string(fields.Database)))
	fields.Request = sheet.Redact(fields.Request)
	fields.Server = fleet.ServerID(sheet.Redact(string(fields.Server)))
	fields.Session = sheet.Redact(fields.Session)
	fields.Text = sheet.Redact(fields.Text)
	fields.Workspace = fleet.WorkspaceID(sheet.Redact(string(fields.Workspace)))
	return fields
}

package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// logWindow is the span over which lines about requests are counted.
const logWindow = time.Second

// Log records events. Lines about single requests are bounded in number; the
// lines that were left out are counted. It is safe for concurrent use.
type Log struct {
	limit    int
	recorder *event.Recorder

	mu         sync.Mutex
	lines      int
	start      time.Time
	suppressed int
}

// NewLog returns a log that writes at most limit lines about requests a second.
func NewLog(recorder *event.Recorder, limit int) *Log {
	return &Log{limit: limit, recorder: recorder}
}

// Record logs an event that is not about a single request.
func (l *Log) Record(number event.Number, fields event.Fields) {
	l.recorder.Record(number, fields)
}

// Request logs an event about a single request, within the bound.
func (l *Log) Request(now time.Time, number event.Number, fields event.Fields) {
	allowed, suppressed := l.allow(now)
	if suppressed > 0 {
		l.recorder.Record(event.LinesSuppressed, event.Fields{Text: strconv.Itoa(suppressed)})
	}
	if allowed {
		l.recorder.Record(number, fields)
	}
}

func (l *Log) allow(now time.Time) (allowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.start) >= logWindow || now.Before(l.start) {
		suppressed = l.suppressed
		l.start, l.lines, l.suppressed = now, 0, 0
	}
	if l.lines >= l.limit {
		l.suppressed++
		return false, suppressed
	}
	l.lines++
	return true, suppressed
}

func versionText(version fleet.SheetVersion) string {
	return "version " + strconv.FormatUint(uint64(version), 10)
}

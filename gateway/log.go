package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// logWindow is the time window over which log lines about requests are counted.
const logWindow = time.Second

// Log records events. The rate of lines about individual requests is limited, and
// suppressed lines are counted. It is safe for concurrent use.
type Log struct {
	linesPerSecond int
	recorder       *event.Recorder

	// mu guards the counters of the current window.
	mu          sync.Mutex
	lines       int
	windowStart time.Time
	suppressed  int
}

// NewLog returns a log that writes at most linesPerSecond lines per second about
// individual requests.
func NewLog(recorder *event.Recorder, linesPerSecond int) *Log {
	return &Log{linesPerSecond: linesPerSecond, recorder: recorder}
}

// Record logs an event that is not about an individual request, without a limit.
func (l *Log) Record(number event.Number, fields event.Fields) {
	l.recorder.Record(number, fields)
}

// Request logs an event about an individual request unless the rate limit is
// reached. The first call of a window also logs how many lines the window before
// suppressed.
func (l *Log) Request(now time.Time, number event.Number, fields event.Fields) {
	allowed, suppressed := l.allow(now)
	if suppressed > 0 {
		l.recorder.Record(event.LinesSuppressed, event.Fields{Text: strconv.Itoa(suppressed)})
	}
	if allowed {
		l.recorder.Record(number, fields)
	}
}

// allow reports whether a line may be logged now. If a new window starts, it also
// returns the number of lines suppressed in the previous one.
func (l *Log) allow(now time.Time) (allowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= logWindow || now.Before(l.windowStart) {
		suppressed = l.suppressed
		l.windowStart, l.lines, l.suppressed = now, 0, 0
	}
	if l.lines >= l.linesPerSecond {
		l.suppressed++
		return false, suppressed
	}
	l.lines++
	return true, suppressed
}

func versionText(version fleet.SheetVersion) string {
	return "version " + strconv.FormatUint(uint64(version), 10)
}

package measure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramDigits = 3
	histogramMax    = time.Minute
	histogramMin    = time.Microsecond
)

// LatencyHistogram records durations between one microsecond and one minute. Longer
// ones count as one minute. It is safe for concurrent use.
type LatencyHistogram struct {
	histogram *hdrhistogram.Histogram
	mu        sync.Mutex
}

// NewLatencyHistogram returns an empty recorder.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{histogram: hdrhistogram.New(histogramMin.Microseconds(), histogramMax.Microseconds(), histogramDigits)}
}

// Count returns the number of recorded durations.
func (l *LatencyHistogram) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

// Quantile returns the duration at a quantile between 0 and 1.
func (l *LatencyHistogram) Quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(q*100)) * time.Microsecond
}

// Record adds a duration.
func (l *LatencyHistogram) Record(d time.Duration) {
	d = min(max(d, histogramMin), histogramMax)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is inside the histogram's range, so the error cannot occur.
	_ = l.histogram.RecordValue(d.Microseconds())
}

// Series returns the durations at rising quantiles as a plot line.
func (l *LatencyHistogram) Series(name string) Series {
	series := Series{Name: name, XLabel: "quantile", YLabel: "latency in ms"}
	for _, q := range []float64{0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1} {
		value := float64(l.Quantile(q)) / float64(time.Millisecond)
		series.Points = append(series.Points, Point{X: q, Y: value})
	}
	return series
}

// Merge adds the durations of another recorder.
func (l *LatencyHistogram) Merge(other *LatencyHistogram) {
	other.mu.Lock()
	defer other.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.Merge(other.histogram)
}

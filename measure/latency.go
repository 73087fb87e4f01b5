package measure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramSignificantDigits = 3
	histogramMax               = time.Minute
	histogramMin               = time.Microsecond
)

// LatencyHistogram records durations from one microsecond to one minute. Durations
// outside this range are recorded as its nearest bound. It is safe for concurrent use.
type LatencyHistogram struct {
	histogram *hdrhistogram.Histogram
	mu        sync.Mutex
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{histogram: hdrhistogram.New(histogramMin.Microseconds(), histogramMax.Microseconds(), histogramSignificantDigits)}
}

// Count returns the number of recorded durations.
func (h *LatencyHistogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.histogram.TotalCount()
}

// Quantile returns the duration at a quantile between 0 and 1.
func (h *LatencyHistogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.histogram.ValueAtQuantile(q*100)) * time.Microsecond
}

// Record adds a duration.
func (h *LatencyHistogram) Record(d time.Duration) {
	d = min(max(d, histogramMin), histogramMax)
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is in the range of the histogram, so there is no error.
	_ = h.histogram.RecordValue(d.Microseconds())
}

// Series returns the durations at increasing quantiles as a series for a plot.
func (h *LatencyHistogram) Series(name string) Series {
	series := Series{Name: name, XLabel: "quantile", YLabel: "latency in ms"}
	for _, q := range []float64{0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1} {
		value := float64(h.Quantile(q)) / float64(time.Millisecond)
		series.Points = append(series.Points, Point{X: q, Y: value})
	}
	return series
}

// Merge adds the durations of another histogram.
func (h *LatencyHistogram) Merge(other *LatencyHistogram) {
	other.mu.Lock()
	defer other.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.histogram.Merge(other.histogram)
}

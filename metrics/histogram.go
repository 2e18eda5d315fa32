package metrics

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxObservation is the upper limit of the histograms; longer durations are recorded as this value.
	maxObservation = 10 * time.Minute
	// observationDigits is the precision of the histograms in significant decimal digits.
	observationDigits = 2
)

// Observe records a duration in the named histogram.
func (s *Set) Observe(name Name, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.histograms == nil {
		s.histograms = map[Name]*hdrhistogram.Histogram{}
	}
	h, ok := s.histograms[name]
	if !ok {
		h = hdrhistogram.New(1, maxObservation.Microseconds(), observationDigits)
		s.histograms[name] = h
	}
	// Values are clamped to the histogram's range, so recording cannot fail.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxObservation.Microseconds()))
}

// WriteText writes the counters and gauges, then the quantiles and counts of the histograms, one value per line and each
// group in the order of names.
func (s *Set) WriteText(w io.Writer) {
	s.values.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, "%s %s\n", metricName(kv.Key), kv.Value) })
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(s.histograms)) {
		h := s.histograms[name]
		for _, q := range []float64{50, 90, 99} {
			_, _ = fmt.Fprintf(w, "%s_seconds{quantile=\"%g\"} %g\n", metricName(string(name)), q/100,
				float64(h.ValueAtPercentile(q))/float64(time.Second/time.Microsecond))
		}
		_, _ = fmt.Fprintf(w, "%s_seconds_count %d\n", metricName(string(name)), h.TotalCount())
	}
}

// metricName returns the name with the program's prefix and with underscores, as the text format of metrics requires.
func metricName(name string) string { return "clementinepier_" + strings.ReplaceAll(name, "-", "_") }

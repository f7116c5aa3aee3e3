package harness

import (
	"strconv"
	"strings"
)

// Metric returns the value of a series in a scrape, or 0 if the series is missing.
func Metric(scrape, series string) float64 {
	for line := range strings.Lines(scrape) {
		if text, found := strings.CutPrefix(line, series+" "); found {
			value, _ := strconv.ParseFloat(strings.TrimSpace(text), 64)
			return value
		}
	}
	return 0
}

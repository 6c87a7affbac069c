// Package stat computes summary statistics of measured values.
package stat

import (
	"math"
	"slices"
)

// Series is a set of measured values. The zero value is an empty series, ready to use.
type Series struct {
	// Values are in the order of Add until Quantile sorts them.
	Values []float64
	sorted bool
}

// Add appends a value.
func (s *Series) Add(v float64) {
	s.Values = append(s.Values, v)
	s.sorted = false
}

// Count returns the number of values.
func (s *Series) Count() int {
	return len(s.Values)
}

// Sum returns the sum of the values.
func (s *Series) Sum() float64 {
	total := 0.0
	for _, v := range s.Values {
		total += v
	}
	return total
}

// Mean returns the mean, or 0 if the series is empty.
func (s *Series) Mean() float64 {
	if len(s.Values) == 0 {
		return 0
	}
	return s.Sum() / float64(len(s.Values))
}

// StdDev returns the sample standard deviation, or 0 if there are fewer than two
// values.
func (s *Series) StdDev() float64 {
	n := len(s.Values)
	if n < 2 {
		return 0
	}
	mean := s.Mean()
	total := 0.0
	for _, v := range s.Values {
		total += (v - mean) * (v - mean)
	}
	return math.Sqrt(total / float64(n-1))
}

// Quantile returns the smallest value that a share q of the values does not exceed, or 0
// if the series is empty. Quantile(0) is the minimum and Quantile(1) the maximum. It
// sorts Values.
func (s *Series) Quantile(q float64) float64 {
	if len(s.Values) == 0 {
		return 0
	}
	if !s.sorted {
		slices.Sort(s.Values)
		s.sorted = true
	}
	i := int(math.Ceil(q*float64(len(s.Values)))) - 1
	return s.Values[min(max(i, 0), len(s.Values)-1)]
}

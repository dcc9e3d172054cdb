package cmd

import (
	"fmt"
	"strconv"
)

// shareValue is a kingpin.Value, for a share from 0 to 1.
type shareValue struct {
	flag  string
	share *float64
}

// Set implements kingpin.Value.
func (v *shareValue) Set(text string) error {
	share, err := strconv.ParseFloat(text, 64)
	// The negation rejects NaN, too.
	if err != nil || !(share >= 0 && share <= 1) {
		return fmt.Errorf("--%s: %q is not a number from 0 to 1", v.flag, text)
	}
	*v.share = share
	return nil
}

// String implements kingpin.Value.
func (v *shareValue) String() string { return strconv.FormatFloat(*v.share, 'g', -1, 64) }

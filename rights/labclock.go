//go:build labclock

package rights

// labclock.go has the clock be wrong, in builds for the laboratory alone. No other build has it.

import (
	"os"
	"time"
)

func init() {
	if d, err := time.ParseDuration(os.Getenv("MOLESHIFT_LAB_CLOCK")); err == nil {
		clockOffset = d
	}
}

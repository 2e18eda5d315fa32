package front

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a planner on a VM that is too small for all workers while a larger one is there.
func TestLargerVMsClaimBeforeSmallerOnes(t *testing.T) {
	is := is.New(t)
	for _, pair := range [][2]float64{{0.8, 0.192}, {0.4, 0.12}, {0.8, 0.3}} {
		is.True(claimDelay(pair[0])+claimSpread < claimDelay(pair[1]))
	}
	is.True(claimDelay(0.001) <= claimMaxDelay)
}

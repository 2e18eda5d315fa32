package front

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/metrics"
)

// partlyInvalidDocuments has a configuration of which limits were left out.
type partlyInvalidDocuments struct{ configuration *engine.Configuration }

func (d *partlyInvalidDocuments) Apply(engine.Item) (bool, error) {
	var invalid engine.ErrInvalidLimits
	invalid.Add("a", errors.New("MaxCount is negative"))
	invalid.Add("b", errors.New("Weight is not a number"))
	return true, &invalid
}

func (d *partlyInvalidDocuments) Reset() {}

func (d *partlyInvalidDocuments) Configuration() *engine.Configuration { return d.configuration }

// Guards against invalid limits that nobody sees, or that keep the rest of a configuration from coming into force.
func TestInvalidLimitsAreCounted(t *testing.T) {
	is := is.New(t)
	v := &VM{OperatorDocuments: &partlyInvalidDocuments{configuration: &engine.Configuration{Version: 3}}}
	v.applyDocuments([]engine.Item{{Key: "op/config"}})
	is.Equal(v.metrics.Get(metrics.LimitsRejected), int64(2))
	is.Equal(v.configuration.Load().Version, int64(3))
}

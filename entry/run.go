package entry

import (
	"context"

	"github.com/jonboulle/clockwork"

	"clementinepier/kvstore"
	"clementinepier/metrics"
	"clementinepier/settings"
	"clementinepier/trace"
)

// Run runs an entry VM on the platform named in its settings. It returns once ctx is done and the VM has drained.
func Run(ctx context.Context, s *settings.Settings) error {
	file := ""
	if s.TraceOutput() == settings.TraceFile {
		file = s.TraceFile()
	}
	tracer, err := trace.New(s.Name(), file)
	if err != nil {
		return err
	}
	counters := &metrics.Set{}
	counters.Publish()
	options := kvstore.Options{Address: s.PlatformAddress()}
	vm := &VM{
		Settings: s, Clock: clockwork.NewRealClock(), Store: kvstore.NewStore(options),
		Directory: kvstore.NewDirectory(options), Metrics: counters, Tracer: tracer,
	}
	return vm.Run(ctx.Done())
}

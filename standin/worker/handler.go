package worker

import (
	"context"
	"net/http"

	"clementinepier/job"
	"clementinepier/jsonhttp"
	"clementinepier/standin/fault"
	"clementinepier/worker"
)

// Do not rename the request types (empty, tasked, listed and those inside the handle methods): encoding/json puts the name
// of the type into the error text of a malformed request, which is sent with status 400.

type empty struct{}

type tasked struct {
	ID    job.TaskID `json:"id"`
	Share float64    `json:"share"`
}

type listed struct {
	IDs    []job.TaskID `json:"ids"`
	Reason string       `json:"reason"`
}

// Handler serves the calls under /v1/ and the admin calls under /admin/. Faults are not applied to admin calls.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	w.handlePlacement(mux)
	w.handleTasks(mux)
	w.handleReports(mux)
	w.handleAdmin(mux)
	return mux
}

// detach removes the cancellation of ctx, so that a call takes effect even if its caller gave up, as on a slow worker.
func detach(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }

func (w *Worker) handlePlacement(mux *http.ServeMux) {
	type held struct {
		Spec   worker.Spec  `json:"spec"`
		Length job.Duration `json:"length"`
	}
	jsonhttp.Handle(mux, "/v1/hold", func(ctx context.Context, in held) (any, error) {
		accelerators, refused, err := w.callHold(detach(ctx), in.Spec, in.Length.Std())
		return map[string]any{"id": in.Spec.ID, "accelerators": accelerators, "refused": refused}, httpError(err)
	})
	type started struct {
		ID      job.TaskID   `json:"id"`
		Nonce   string       `json:"nonce"`
		Payload []byte       `json:"payload"`
		Length  job.Duration `json:"length"`
	}
	jsonhttp.Handle(mux, "/v1/start", func(ctx context.Context, in started) (any, error) {
		refused, err := w.callStart(detach(ctx), in.ID, in.Nonce, in.Payload, in.Length.Std())
		return map[string]any{"id": in.ID, "refused": refused}, httpError(err)
	})
	type renewed struct {
		Leases []worker.Lease `json:"leases"`
	}
	jsonhttp.Handle(mux, "/v1/renew", func(ctx context.Context, in renewed) (any, error) {
		statuses, err := w.callRenew(detach(ctx), in.Leases)
		var reply worker.RenewReply
		for _, s := range statuses {
			task := worker.Renewed{ID: s.Spec.ID, Nonce: s.Spec.Nonce, State: s.State, Started: s.Started}
			reply.Tasks = append(reply.Tasks, task)
		}
		return reply, httpError(err)
	})
}

func (w *Worker) handleTasks(mux *http.ServeMux) {
	jsonhttp.Handle(mux, "/v1/stop", func(ctx context.Context, in listed) (any, error) {
		statuses, err := w.callStop(detach(ctx), in.IDs, in.Reason)
		return map[string]any{"statuses": statuses}, httpError(err)
	})
	jsonhttp.Handle(mux, "/v1/checkpoint", func(ctx context.Context, in tasked) (empty, error) {
		return empty{}, httpError(w.callCheckpoint(ctx, in.ID))
	})
	jsonhttp.Handle(mux, "/v1/throttle", func(ctx context.Context, in tasked) (empty, error) {
		return empty{}, httpError(w.callThrottle(detach(ctx), in.ID, in.Share))
	})
	jsonhttp.Handle(mux, "/v1/forbid", func(ctx context.Context, in tasked) (worker.Status, error) {
		status, err := w.callForbid(detach(ctx), in.ID)
		return status, httpError(err)
	})
	jsonhttp.Handle(mux, "/v1/answer", func(ctx context.Context, in tasked) (worker.AnswerReply, error) {
		reply, err := w.answerReply(detach(ctx), in.ID)
		return reply, httpError(err)
	})
	jsonhttp.Handle(mux, "/v1/acknowledge", func(ctx context.Context, in listed) (empty, error) {
		return empty{}, httpError(w.callAcknowledge(detach(ctx), in.IDs))
	})
}

func (w *Worker) handleReports(mux *http.ServeMux) {
	jsonhttp.Handle(mux, "/v1/info", func(ctx context.Context, _ empty) (worker.Info, error) {
		info, err := w.callInfo(detach(ctx))
		return info, httpError(err)
	})
	jsonhttp.Handle(mux, "/v1/tasks", func(ctx context.Context, _ empty) (any, error) {
		info, statuses, err := w.callTasks(detach(ctx))
		return map[string]any{"info": info, "statuses": statuses}, httpError(err)
	})
	type polled struct {
		After uint64       `json:"after"`
		Wait  job.Duration `json:"wait"`
	}
	jsonhttp.Handle(mux, "/v1/events", func(ctx context.Context, in polled) (worker.Events, error) {
		events, err := w.callEvents(ctx, in.After, in.Wait.Std())
		return events, httpError(err)
	})
	jsonhttp.Handle(mux, "/v1/usage", func(ctx context.Context, _ empty) (any, error) {
		usage, err := w.callUsage(detach(ctx))
		return map[string]any{"usage": usage}, httpError(err)
	})
}

func (w *Worker) handleAdmin(mux *http.ServeMux) {
	jsonhttp.Handle(mux, "/admin/faults", func(_ context.Context, in Faults) (empty, error) {
		w.SetFaults(in)
		return empty{}, nil
	})
	type left struct {
		Leaving bool `json:"leaving"`
	}
	jsonhttp.Handle(mux, "/admin/leaving", func(_ context.Context, in left) (empty, error) {
		w.SetLeaving(in.Leaving)
		return empty{}, nil
	})
	jsonhttp.Handle(mux, "/admin/calls", func(context.Context, empty) (map[string]uint64, error) {
		return w.Calls(), nil
	})
}

// httpError maps an error to the HTTP response that a real worker would give. An injected fault aborts the connection.
func httpError(err error) error {
	switch {
	case err == nil:
		return nil
	case worker.IsErrTaskNotExist(err):
		return &jsonhttp.ErrStatus{Status: http.StatusNotFound, Body: []byte(err.Error())}
	case fault.IsInjected(err):
		return jsonhttp.ErrAbort
	}
	return err
}

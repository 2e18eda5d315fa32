package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"clementinepier/engine"
	"clementinepier/peer"
	"clementinepier/workload"
)

// ExplainPath is the path of explanations at the metrics address. A GET with the parameter "job" explains an accepted job. A POST with the
// parameters "host" and "path" and the caller's key in the header Key explains the call that submits its body, without submitting it.
const ExplainPath = "/explain"

// maxExplainedBody bounds the body of a job to explain in bytes.
const maxExplainedBody = 1 << 20

// explainHere explains a job by the state of the planner of this process.
func (v *VM) explainHere(ctx context.Context, p *engine.Planner, request engine.ExplainRequest) engine.Result {
	result := p.Explain(ctx, request)
	if result.Explanation != nil {
		result.Explanation.Planner = v.Settings.Name
	}
	return result
}

func (v *VM) explainHandler(r *Receiver) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		switch request.Method {
		case http.MethodGet:
			v.explain(request.Context(), w, r, engine.ExplainRequest{ID: request.URL.Query().Get("job")})
		case http.MethodPost:
			body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxExplainedBody))
			if err != nil {
				writeExplainError(w, http.StatusRequestEntityTooLarge, err.Error())
				return
			}
			call := Call{
				Host: request.URL.Query().Get("host"), Path: request.URL.Query().Get("path"), Key: request.Header.Get("Key"),
			}
			job, refused := r.prepare(call, func(limit int) (workload.Job, error) {
				if limit > 0 && len(body) > limit {
					return workload.Job{}, &ErrNotReceived{Outcome: OutcomeTooLarge}
				}
				return v.DecodeJob(body)
			})
			if refused != nil {
				writeExplainError(w, http.StatusUnprocessableEntity, "the call would be rejected: "+string(refused.Outcome))
				return
			}
			v.explain(request.Context(), w, r, engine.ExplainRequest{Job: &job})
		default:
			writeExplainError(w, http.StatusMethodNotAllowed, "only GET and POST are served")
		}
	})
}

// explain asks the planner, here or on another entry VM, and writes its explanation.
func (v *VM) explain(ctx context.Context, w http.ResponseWriter, r *Receiver, request engine.ExplainRequest) {
	result := r.callPlanner(ctx, peer.KindExplain, request, func(ctx context.Context, p *engine.Planner) engine.Result {
		return v.explainHere(ctx, p, request)
	})
	switch {
	case result.Explanation != nil:
		w.Header().Set("Content-Type", "application/json")
		// The caller may have gone.
		_ = json.NewEncoder(w).Encode(result.Explanation)
	case result.Verdict == engine.VerdictAbsent:
		writeExplainError(w, http.StatusNotFound, "the planner knows no such job")
	default:
		writeExplainError(w, http.StatusServiceUnavailable, "no planner answered: "+result.Reason)
	}
}

func writeExplainError(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error string `json:"error"`
	}{reason})
}

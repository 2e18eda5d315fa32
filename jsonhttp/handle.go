package jsonhttp

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// ErrAbort makes Handle cut the connection without a reply.
var ErrAbort = errors.New("connection cut")

// Handle serves POST requests for path: it decodes the body, calls f and encodes the result. An *ErrStatus
// from f becomes that status, ErrAbort cuts the connection, and any other error becomes status 400.
func Handle[In, Out any](mux *http.ServeMux, path string, f func(ctx context.Context, in In) (Out, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in In
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReplySize))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r.Context(), in)
		var status *ErrStatus
		switch {
		case errors.Is(err, ErrAbort):
			panic(http.ErrAbortHandler)
		case errors.As(err, &status):
			w.WriteHeader(status.Status)
			_, _ = w.Write(status.Body)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An encoding error here means that the client is gone; there is nobody to tell.
		_ = json.NewEncoder(w).Encode(out)
	})
}

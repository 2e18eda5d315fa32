package jsonhttp

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// ErrAbort makes Handle close the connection without a reply.
var ErrAbort = errors.New("connection closed without a reply")

// Handle serves POST requests for path: it decodes the body, calls f and encodes the result. An *ErrStatus
// from f becomes a reply with that status and body, ErrAbort closes the connection, any other error becomes status 400.
func Handle[In, Out any](mux *http.ServeMux, path string, f func(ctx context.Context, in In) (Out, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in In
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize))
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
		// An error here means that the client has disconnected, so it cannot be reported.
		_ = json.NewEncoder(w).Encode(out)
	})
}

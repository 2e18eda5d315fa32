package kvstore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against accepting a reply that is truncated, malformed, or meant for another call.
func TestUnusableRepliesAreUnavailable(t *testing.T) {
	for name, reply := range map[string]struct {
		status int
		body   string
	}{
		"cut":                       {http.StatusOK, ""},
		"text":                      {http.StatusOK, "ok"},
		"other key":                 {http.StatusOK, `{"key": "other", "value": "YQ==", "version": 3}`},
		"conflict without versions": {http.StatusConflict, "{}"},
		"server error":              {http.StatusInternalServerError, "{}"},
	} {
		t.Run(name, func(t *testing.T) {
			is, ctx := is.New(t), context.Background()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if reply.body == "" {
					w.Header().Set("Content-Length", "100")
				}
				w.WriteHeader(reply.status)
				_, _ = w.Write([]byte(reply.body))
			}))
			t.Cleanup(server.Close)
			store := NewStore(Options{Address: server.Listener.Addr().String()})
			_, get := store.Get(ctx, "k")
			_, watch := store.Watch(ctx, "k", 1, time.Second)
			failures := []error{get, watch}
			if name != "other key" { // the reply to a write does not contain the key
				_, write := store.CompareAndSwap(ctx, "k", nil, 1)
				failures = append(failures, write)
			}
			for _, err := range failures {
				var unavailable *ErrUnavailable
				is.True(errors.As(err, &unavailable))
				is.True(unavailable.Delivered)
			}
		})
	}
}

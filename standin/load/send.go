package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"clementinepier/job"
)

const maxReplySize = 64 << 20

// validStatuses lists the HTTP statuses that are valid for each result.
var validStatuses = map[job.Result][]int{
	job.Done:    {http.StatusOK},
	job.NotRun:  {http.StatusServiceUnavailable, http.StatusTooManyRequests},
	job.Unknown: {http.StatusGatewayTimeout},
}

// Reply is an outcome and the HTTP status of its response.
type Reply struct {
	Status  int
	Outcome job.Outcome
}

// Send sends a request to an entry VM. An error means that no outcome was received.
type Send func(ctx context.Context, entry, token string, r job.Request) (Reply, error)

// NewSend returns a Send function that uses HTTP and keeps at most the given number of connections to each entry VM.
func NewSend(connections int) Send {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections}}
	return func(ctx context.Context, entry, token string, r job.Request) (Reply, error) {
		body, err := json.Marshal(r)
		if err != nil {
			return Reply{}, errors.WithStack(err)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/api/v1/requests", bytes.NewReader(body))
		if err != nil {
			return Reply{}, errors.WithStack(err)
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := client.Do(request)
		if err != nil {
			return Reply{}, errors.WithStack(err)
		}
		defer func() { _ = response.Body.Close() }()
		responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
		if err != nil {
			return Reply{}, errors.Wrap(err, "read reply")
		}
		reply := Reply{Status: response.StatusCode}
		if err := json.Unmarshal(responseBody, &reply.Outcome); err != nil {
			return Reply{}, errors.Wrapf(err, "status %d: %.200s", response.StatusCode, responseBody)
		}
		if reply.Outcome.Result == "" {
			return Reply{}, errors.Errorf("status %d without an outcome: %.200s", response.StatusCode, responseBody)
		}
		return reply, nil
	}
}

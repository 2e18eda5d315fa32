package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/message"
	"clementinepier/trace"
)

const (
	maxIDLength = 128
	// maxShapeValue bounds each number of a shape, so that the product of two never overflows.
	maxShapeValue = 1 << 20
	bearerPrefix  = "Bearer "
	// traceHeader is the reply header with the trace id of the request.
	traceHeader = "X-Trace-Id"
)

// authenticateCaller returns the organisation of the caller's token, or nil after writing an error reply.
func (a *API) authenticateCaller(c *app.RequestContext) *bundle.Organisation {
	b := a.View().Bundle()
	if b == nil {
		a.writeError(c, http.StatusServiceUnavailable, job.CodeNoConfiguration, "this entry VM knows no configuration yet")
		return nil
	}
	token, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), bearerPrefix)
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	if ok {
		for i := range b.Organisations {
			if b.Organisations[i].TokenDigest == digest {
				return &b.Organisations[i]
			}
		}
	}
	a.writeError(c, http.StatusUnauthorized, job.CodeUnknownOrg, "the token belongs to no organisation")
	return nil
}

// submitRequest accepts a request and replies with its outcome, or with its state when the caller's wait has passed or this
// entry VM stops before.
func (a *API) submitRequest(ctx context.Context, c *app.RequestContext) {
	ctx = trace.Extract(ctx, string(c.GetHeader(trace.HeaderName)))
	ctx, span := a.Tracer.Start(ctx, "request")
	traceID := trace.ID(ctx)
	c.Response.Header.Set(traceHeader, traceID)
	organisation := a.authenticateCaller(c)
	if organisation == nil {
		span.End(string(job.CodeUnknownOrg))
		return
	}
	req, wait, err := a.decodeRequest(c, organisation)
	if err != nil {
		span.End(err.Error())
		a.writeError(c, err.status, err.code, err.detail)
		return
	}
	if a.Draining() {
		span.End(string(job.CodeStopping))
		c.Response.Header.Set("Connection", "close")
		a.writeOutcome(c, job.NewNotRun(req.Key(), job.CodeStopping, "this entry VM is stopping; try another one", job.Duration(time.Second)))
		return
	}
	submission, rejected := a.Submit(ctx, req, requestDigest(req))
	if rejected.Code != job.CodeOK {
		span.End(string(rejected.Code))
		a.writeOutcome(c, rejected)
		return
	}
	select {
	case <-submission.Ended:
		outcome := submission.Outcome()
		outcome.TraceID = traceID
		span.End(string(outcome.Code))
		a.writeOutcome(c, outcome)
		return
	case <-a.Clock.After(wait):
	case <-a.DrainEnd:
	}
	span.End("")
	c.JSON(http.StatusAccepted, message.Request{
		Key: req.Key(), State: message.RequestRunning, Durable: a.Persist(ctx, req.Key()),
	})
}

// requestError is the error reply to a call whose body is rejected.
type requestError struct {
	status int
	code   job.Code
	detail string
}

// Error implements error.
func (r *requestError) Error() string { return string(r.code) + ": " + r.detail }

func badRequest(format string, args ...any) *requestError {
	return &requestError{status: http.StatusBadRequest, code: job.CodeBadRequest, detail: fmt.Sprintf(format, args...)}
}

// decodeRequest reads and validates a request body and the caller's wait.
func (a *API) decodeRequest(c *app.RequestContext, organisation *bundle.Organisation) (job.Request, time.Duration, *requestError) {
	var req job.Request
	body, reqErr := a.readBody(c, a.MaxBodySize)
	if reqErr != nil {
		return req, 0, reqErr
	}
	if err := decodeStrict(body, &req); err != nil {
		return req, 0, badRequest("body: %v", err)
	}
	switch {
	case req.Organisation == "":
		req.Organisation = organisation.Name
	case req.Organisation != organisation.Name:
		return req, 0, &requestError{status: http.StatusForbidden, code: job.CodeUnknownOrg, detail: "the token belongs to another organisation"}
	}
	if reqErr := a.validateRequest(&req); reqErr != nil {
		return req, 0, reqErr
	}
	wait := defaultWait
	if text := c.Query("wait"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 || parsed > maxWait {
			return req, 0, badRequest("wait: %q is not a duration from 0s to %s", text, maxWait)
		}
		wait = parsed
	}
	return req, wait, nil
}

// validateRequest validates a request against the bundle and sets the default shape and timeout.
func (a *API) validateRequest(req *job.Request) *requestError {
	b := a.View().Bundle()
	var service *bundle.Service
	for i := range b.Services {
		if b.Services[i].Name == req.Service {
			service = &b.Services[i]
		}
	}
	if req.Shape == (job.Shape{}) {
		req.Shape = job.Shape{Tasks: 1, Slots: 1}
	}
	switch {
	case !validID(req.ID):
		return badRequest("id: must have 1 to %d letters, digits, dots, dashes or underscores", maxIDLength)
	case service == nil:
		return badRequest("service: %q is not in the bundle", req.Service)
	case req.Shape.Tasks < 1 || req.Shape.Slots < 1 || req.Shape.Accelerators < 0:
		return badRequest("shape: tasks and slots must be at least 1, accelerators at least 0")
	case max(req.Shape.Tasks, req.Shape.Slots, req.Shape.Accelerators) > maxShapeValue:
		return badRequest("shape: no number may be above %d", maxShapeValue)
	case len(req.Payload) > service.MaxPayload:
		return &requestError{
			status: http.StatusRequestEntityTooLarge, code: job.CodeBodyTooLarge,
			detail: fmt.Sprintf("payload has %d bytes, the service allows %d", len(req.Payload), service.MaxPayload),
		}
	case req.Timeout < 0 || req.Timeout > service.MaxTimeout:
		return badRequest("timeout: must be above 0s and at most %s", service.MaxTimeout)
	case req.Timeout == 0:
		req.Timeout = service.DefaultTimeout
	}
	if !a.FitsEmptyRack(*req) {
		return &requestError{
			status: http.StatusUnprocessableEntity, code: job.CodeShapeFitsNoRack,
			detail: "no rack of the bundle could run the shape even when empty",
		}
	}
	return nil
}

func validID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, r := range id {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_", r) {
			return false
		}
	}
	return true
}

// requestDigest returns a hash of a request without its timeout: a retry has less time left and may set another timeout.
func requestDigest(req job.Request) string {
	req.Timeout = 0
	text, _ := json.Marshal(req)
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// writeOutcome writes an outcome with its HTTP status, and its retry delay rounded up to whole seconds.
func (a *API) writeOutcome(c *app.RequestContext, outcome job.Outcome) {
	if outcome.RetryAfter > 0 {
		seconds := int((outcome.RetryAfter.Std() + time.Second - 1) / time.Second)
		c.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	c.JSON(httpStatus(outcome), outcome)
}

func httpStatus(outcome job.Outcome) int {
	switch {
	case outcome.Result == job.Done:
		return http.StatusOK
	case outcome.Result == job.Unknown:
		return http.StatusGatewayTimeout
	case outcome.Code == job.CodeLimitReached:
		return http.StatusTooManyRequests
	case outcome.Code == job.CodeRequestIDConflict:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// showRequest reports what the entry VMs know of a request of the caller's organisation.
func (a *API) showRequest(ctx context.Context, c *app.RequestContext) {
	organisation := a.authenticateCaller(c)
	if organisation == nil {
		return
	}
	key := job.Key{Organisation: organisation.Name, ID: c.Param("id")}
	if !validID(key.ID) {
		a.writeError(c, http.StatusNotFound, job.CodeRequestNotExist, "the id cannot be one of a request")
		return
	}
	request, found, err := a.Find(ctx, key)
	switch {
	case found:
		c.JSON(http.StatusOK, request)
	case err != nil:
		a.writeError(c, http.StatusServiceUnavailable, job.CodeOwnerLost, "not every entry VM could be asked: "+err.Error())
	default:
		a.writeError(c, http.StatusNotFound, job.CodeRequestNotExist, "no entry VM has the request")
	}
}

func (a *API) cancelRequest(ctx context.Context, c *app.RequestContext) {
	organisation := a.authenticateCaller(c)
	if organisation == nil {
		return
	}
	key := job.Key{Organisation: organisation.Name, ID: c.Param("id")}
	if !validID(key.ID) {
		a.writeError(c, http.StatusNotFound, job.CodeRequestNotExist, "the id cannot be one of a request")
		return
	}
	cancelled, found := a.Cancel(ctx, key)
	if !found {
		a.writeError(c, http.StatusNotFound, job.CodeRequestNotExist, "no entry VM has the request")
		return
	}
	c.JSON(http.StatusOK, cancelled)
}

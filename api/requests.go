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
	// maxShape bounds each number of a shape, so that products of two never overflow.
	maxShape     = 1 << 20
	bearerPrefix = "Bearer "
	// traceHeader gives the caller the trace id of its request.
	traceHeader = "X-Trace-Id"
)

// organisation returns the caller's organisation, or nil after writing the error.
func (a *API) organisation(c *app.RequestContext) *bundle.Organisation {
	b := a.View().Bundle()
	if b == nil {
		a.fail(c, http.StatusServiceUnavailable, job.CodeNoConfiguration, "this entry VM knows no configuration yet")
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
	a.fail(c, http.StatusUnauthorized, job.CodeUnknownOrg, "the token belongs to no organisation")
	return nil
}

// submitRequest takes a request and answers with its outcome, or with its state when the caller's wait has passed.
func (a *API) submitRequest(ctx context.Context, c *app.RequestContext) {
	ctx = trace.Extract(ctx, string(c.GetHeader(trace.HeaderName)))
	ctx, span := a.Tracer.Start(ctx, "request")
	traceID := trace.ID(ctx)
	c.Response.Header.Set(traceHeader, traceID)
	organisation := a.organisation(c)
	if organisation == nil {
		span.End(string(job.CodeUnknownOrg))
		return
	}
	req, wait, err := a.decodeRequest(c, organisation)
	if err != nil {
		span.End(err.Error())
		a.fail(c, err.status, err.code, err.detail)
		return
	}
	if a.Draining() {
		span.End(string(job.CodeStopping))
		c.Response.Header.Set("Connection", "close")
		a.writeOutcome(c, job.NewNotRun(req.Key(), job.CodeStopping, "this entry VM is stopping; try another one", job.Duration(time.Second)))
		return
	}
	submission, refused := a.Submit(ctx, req, digestOf(req))
	if refused.Code != job.CodeOK {
		span.End(string(refused.Code))
		a.writeOutcome(c, refused)
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

// refusal is why a request body was refused.
type refusal struct {
	status int
	code   job.Code
	detail string
}

// Error implements error.
func (r *refusal) Error() string { return string(r.code) + ": " + r.detail }

func badRequest(format string, args ...any) *refusal {
	return &refusal{status: http.StatusBadRequest, code: job.CodeBadRequest, detail: fmt.Sprintf(format, args...)}
}

// decodeRequest reads and checks a request body and the caller's wait.
func (a *API) decodeRequest(c *app.RequestContext, organisation *bundle.Organisation) (job.Request, time.Duration, *refusal) {
	var req job.Request
	body, refused := a.body(c, a.MaxBodySize)
	if refused != nil {
		return req, 0, refused
	}
	if err := decodeStrict(body, &req); err != nil {
		return req, 0, badRequest("body: %v", err)
	}
	switch {
	case req.Organisation == "":
		req.Organisation = organisation.Name
	case req.Organisation != organisation.Name:
		return req, 0, &refusal{status: http.StatusForbidden, code: job.CodeUnknownOrg, detail: "the token belongs to another organisation"}
	}
	if refused := a.checkRequest(&req); refused != nil {
		return req, 0, refused
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

// checkRequest checks a request against the bundle and fills in the defaults.
func (a *API) checkRequest(req *job.Request) *refusal {
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
	case max(req.Shape.Tasks, req.Shape.Slots, req.Shape.Accelerators) > maxShape:
		return badRequest("shape: no number may be above %d", maxShape)
	case len(req.Payload) > service.MaxPayload:
		return &refusal{
			status: http.StatusRequestEntityTooLarge, code: job.CodeBodyTooLarge,
			detail: fmt.Sprintf("payload has %d bytes, the service allows %d", len(req.Payload), service.MaxPayload),
		}
	case req.Timeout < 0 || req.Timeout > service.MaxTimeout:
		return badRequest("timeout: must be above 0s and at most %s", service.MaxTimeout)
	case req.Timeout == 0:
		req.Timeout = service.DefaultTimeout
	}
	if !a.FitsEmptyRack(*req) {
		return &refusal{
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

// digestOf identifies what a request asks for. A retry may name another timeout.
func digestOf(req job.Request) string {
	req.Timeout = 0
	text, _ := json.Marshal(req)
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// writeOutcome writes an outcome with the status that goes with it.
func (a *API) writeOutcome(c *app.RequestContext, outcome job.Outcome) {
	if outcome.RetryAfter > 0 {
		seconds := int((outcome.RetryAfter.Std() + time.Second - 1) / time.Second)
		c.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	c.JSON(statusOf(outcome), outcome)
}

func statusOf(outcome job.Outcome) int {
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

// showRequest tells what is known about a request of the caller's organisation.
func (a *API) showRequest(ctx context.Context, c *app.RequestContext) {
	organisation := a.organisation(c)
	if organisation == nil {
		return
	}
	key := job.Key{Organisation: organisation.Name, ID: c.Param("id")}
	if !validID(key.ID) {
		a.fail(c, http.StatusNotFound, job.CodeRequestNotExist, "the id cannot be one of a request")
		return
	}
	request, found, err := a.Find(ctx, key)
	switch {
	case found:
		c.JSON(http.StatusOK, request)
	case err != nil:
		a.fail(c, http.StatusServiceUnavailable, job.CodeOwnerLost, "not every entry VM could be asked: "+err.Error())
	default:
		a.fail(c, http.StatusNotFound, job.CodeRequestNotExist, "no entry VM has the request")
	}
}

func (a *API) cancelRequest(ctx context.Context, c *app.RequestContext) {
	organisation := a.organisation(c)
	if organisation == nil {
		return
	}
	key := job.Key{Organisation: organisation.Name, ID: c.Param("id")}
	if !validID(key.ID) {
		a.fail(c, http.StatusNotFound, job.CodeRequestNotExist, "the id cannot be one of a request")
		return
	}
	cancelled, found := a.Cancel(ctx, key)
	if !found {
		a.fail(c, http.StatusNotFound, job.CodeRequestNotExist, "no entry VM has the request")
		return
	}
	c.JSON(http.StatusOK, cancelled)
}

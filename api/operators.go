package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"clementinepier/board"
	"clementinepier/bundle"
	"clementinepier/config"
	"clementinepier/job"
	"clementinepier/kvstore"
	"clementinepier/message"
)

// decodeStrict decodes JSON and returns an error for unknown fields and for data after the value.
func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows the JSON value")
	}
	return nil
}

// decodeChange reads and decodes the body of a configuration change. It writes an error reply and returns false when the
// body cannot be used.
func (a *API) decodeChange(c *app.RequestContext, limit int, target any) bool {
	body, reqErr := a.readBody(c, limit)
	if reqErr == nil {
		if err := decodeStrict(body, target); err != nil {
			reqErr = badRequest("body: %v", err)
		}
	}
	if reqErr != nil {
		a.writeError(c, reqErr.status, reqErr.code, reqErr.detail)
	}
	return reqErr == nil
}

// submitBundle handles a signed bundle. Its signatures authenticate the operators, so the call needs no token.
func (a *API) submitBundle(ctx context.Context, c *app.RequestContext) {
	var change message.BundleChange
	if !a.decodeChange(c, maxBundleBodySize, &change) {
		return
	}
	accepted, err := a.SubmitBundle(ctx, change)
	a.writeChange(c, accepted, err)
}

// submitOrder handles a signed order for the failure domain in the path.
func (a *API) submitOrder(ctx context.Context, c *app.RequestContext) {
	var order bundle.SignedOrder
	if !a.decodeChange(c, maxOrderBodySize, &order) {
		return
	}
	if order.Order.FailureDomain != c.Param("name") {
		a.writeError(c, http.StatusBadRequest, job.CodeBadRequest, "the order is for another failure domain than the path")
		return
	}
	accepted, err := a.SubmitOrder(ctx, order)
	a.writeChange(c, accepted, err)
}

func (a *API) writeChange(c *app.RequestContext, accepted message.Accepted, err error) {
	if err == nil {
		c.JSON(http.StatusOK, accepted)
		return
	}
	status, body := changeErrorReply(err)
	c.JSON(status, body)
}

// changeErrorReply maps an error of a configuration change to the status and body of the reply.
func changeErrorReply(err error) (int, message.Error) {
	body := message.Error{Detail: err.Error()}
	var conflict *config.ErrRevisionConflict
	var invalid *bundle.ErrBundleInvalid
	switch {
	case errors.As(err, &conflict):
		body.Code, body.Revision, body.ChangeID = job.CodeRevisionConflict, conflict.Winner.Revision, conflict.Winner.ChangeID
		return http.StatusConflict, body
	case config.IsErrNotYetInForce(err):
		body.Code = job.CodeNotYetInForce
		return http.StatusConflict, body
	case errors.As(err, &invalid):
		body.Code, body.Faults = job.CodeBundleInvalid, invalid.Faults
		return http.StatusUnprocessableEntity, body
	case config.IsErrDomainNotExist(err):
		body.Code = job.CodeUnknownDomain
		return http.StatusNotFound, body
	case bundle.IsErrSignatureInvalid(err), bundle.IsErrKeyNotTrusted(err), bundle.IsErrSameSigner(err):
		body.Code = job.CodeSignatureInvalid
		return http.StatusForbidden, body
	case kvstore.IsErrVersionDiffers(err):
		body.Code = job.CodeOverloaded
		return http.StatusServiceUnavailable, body
	case config.IsErrInvalidChange(err), bundle.IsErrOrderInvalid(err), kvstore.IsErrValueTooLarge(err):
		body.Code = job.CodeBadRequest
		return http.StatusBadRequest, body
	case errors.Is(err, board.ErrStopped):
		body.Code = job.CodeStopping
		return http.StatusServiceUnavailable, body
	}
	// Any other error is not the caller's: the store does not answer, or the stored document cannot be decoded.
	body.Code = job.CodeStoreUnavailable
	return http.StatusServiceUnavailable, body
}

// showConfig reports the configuration that this entry VM has in force. Only signed calls get the bundle itself.
func (a *API) showConfig(_ context.Context, c *app.RequestContext) {
	view := a.View()
	document := view.Document()
	reply := message.Config{
		Revision: view.Revision().Sum(), ChangeID: document.ChangeID, BundleRevision: view.Revision().Bundle,
		Orders: map[string]message.DomainOrder{}, FailureDomains: append([]string{}, view.FailureDomains()...),
	}
	for domain, order := range document.Orders {
		reply.Orders[domain] = message.DomainOrder{State: order.Order.State, Sequence: order.Order.Sequence}
	}
	if authorization := string(c.GetHeader("Authorization")); authorization != "" {
		if err := a.VerifyRead(message.PathConfig, authorization); err != nil {
			a.writeError(c, http.StatusForbidden, job.CodeSignatureInvalid, err.Error())
			return
		}
		if view.Bundle() != nil {
			reply.Bundle = &document.Bundle
		}
	}
	c.JSON(http.StatusOK, reply)
}

func (a *API) showChange(ctx context.Context, c *app.RequestContext) {
	change, err := a.Change(ctx, c.Param("id"))
	switch {
	case err == nil:
		c.JSON(http.StatusOK, change)
	case IsErrChangeNotExist(err):
		a.writeError(c, http.StatusNotFound, job.CodeRequestNotExist, err.Error())
	default:
		a.writeError(c, http.StatusServiceUnavailable, job.CodeStoreUnavailable, err.Error())
	}
}

func (a *API) showStatus(ctx context.Context, c *app.RequestContext) {
	status, err := a.Status(ctx)
	if err != nil {
		a.writeError(c, http.StatusServiceUnavailable, job.CodeStopping, err.Error())
		return
	}
	c.JSON(http.StatusOK, status)
}

// ErrChangeNotExist means that no accepted configuration change has the id.
type ErrChangeNotExist struct{ ID string }

// Error implements error.
func (e *ErrChangeNotExist) Error() string { return "change does not exist: " + e.ID }

// IsErrChangeNotExist reports whether err is or wraps an *ErrChangeNotExist.
func IsErrChangeNotExist(err error) bool {
	var target *ErrChangeNotExist
	return errors.As(err, &target)
}

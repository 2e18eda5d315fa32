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

// decodeStrict decodes JSON, refusing unknown fields and anything after the value.
func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows the JSON value")
	}
	return nil
}

// decodeChange reads and decodes the body of a change, or writes the error.
func (a *API) decodeChange(c *app.RequestContext, limit int, into any) bool {
	body, refused := a.body(c, limit)
	if refused == nil {
		if err := decodeStrict(body, into); err != nil {
			refused = badRequest("body: %v", err)
		}
	}
	if refused != nil {
		a.fail(c, refused.status, refused.code, refused.detail)
	}
	return refused == nil
}

// rollBundle takes a signed bundle. Its signatures authenticate the operators.
func (a *API) rollBundle(ctx context.Context, c *app.RequestContext) {
	var change message.BundleChange
	if !a.decodeChange(c, maxBundleBody, &change) {
		return
	}
	accepted, err := a.SubmitBundle(ctx, change)
	a.writeChange(c, accepted, err)
}

// orderDomain takes a signed order for the failure domain in the path.
func (a *API) orderDomain(ctx context.Context, c *app.RequestContext) {
	var order bundle.SignedOrder
	if !a.decodeChange(c, maxOrderBody, &order) {
		return
	}
	if order.Order.FailureDomain != c.Param("name") {
		a.fail(c, http.StatusBadRequest, job.CodeBadRequest, "the order is for another failure domain than the path")
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
	status, body := changeError(err)
	c.JSON(status, body)
}

// changeError maps an error of a change to its status and body.
func changeError(err error) (int, message.Error) {
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
	// Whatever else fails is no fault of the caller: the store does not answer, or what it holds cannot be read.
	body.Code = job.CodeStoreUnavailable
	return http.StatusServiceUnavailable, body
}

// showConfig tells which configuration this entry VM has in force. The bundle itself is for signed calls only.
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
			a.fail(c, http.StatusForbidden, job.CodeSignatureInvalid, err.Error())
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
		a.fail(c, http.StatusNotFound, job.CodeRequestNotExist, err.Error())
	default:
		a.fail(c, http.StatusServiceUnavailable, job.CodeStoreUnavailable, err.Error())
	}
}

func (a *API) showStatus(ctx context.Context, c *app.RequestContext) {
	status, err := a.Status(ctx)
	if err != nil {
		a.fail(c, http.StatusServiceUnavailable, job.CodeStopping, err.Error())
		return
	}
	c.JSON(http.StatusOK, status)
}

// ErrChangeNotExist means that no accepted change has the id.
type ErrChangeNotExist struct{ ID string }

// Error implements error.
func (e *ErrChangeNotExist) Error() string { return "change does not exist: " + e.ID }

// IsErrChangeNotExist reports whether err is or wraps an *ErrChangeNotExist.
func IsErrChangeNotExist(err error) bool {
	var target *ErrChangeNotExist
	return errors.As(err, &target)
}

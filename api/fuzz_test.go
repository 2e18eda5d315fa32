package api

import (
	"testing"

	"github.com/matryer/is"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/message"
)

// Guards against a body that makes the process panic, and against a retry whose digest differs from that of its request.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"id":"a","service":"s","shape":{"tasks":1,"slots":1},"payload":"AA==","timeout":"1s"}`))
	f.Add([]byte(`{"order":{"failure-domain":"d","state":"out","sequence":1,"change-id":"c"}}`))
	f.Add([]byte(`{"source":"cmV2aXNpb24gPSAx","change-id":"c","based-on":1}`))
	f.Add([]byte(`{"timeout":"999999999h"} x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var order bundle.SignedOrder
		_ = decodeStrict(data, &order)
		var change message.BundleChange
		_ = decodeStrict(data, &change)
		var req job.Request
		if decodeStrict(data, &req) != nil {
			return
		}
		digest := requestDigest(req)
		req.Timeout++
		is.New(t).Equal(requestDigest(req), digest)
	})
}

package cmd

import (
	"context"
	"net/http"

	"clementinepier/message"
)

type requestShowCommand struct {
	requestArguments
	ID string `arg:"positional,required" help:"id of the request"`
}

func (*requestShowCommand) example() string {
	return "request show 7c0f --token-file token --entry 10.0.0.1:8080"
}

func (c *requestShowCommand) run(ctx context.Context, s *invocation) error {
	request, err := s.findRequest(ctx, c.requestArguments, c.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(request)
	}
	s.print("request %s: %s", request.Key, request.State)
	if o := request.Outcome; o != nil {
		s.print("outcome %s, attempts %d, answer of %d bytes", o.Result, o.Attempts, len(o.Answer))
		if o.Code != "" {
			s.print("%s: %s", o.Code, o.Detail)
		}
	}
	return nil
}

func (s *invocation) findRequest(ctx context.Context, a requestArguments, id string) (message.Request, error) {
	var request message.Request
	cl, err := s.requestClient(a)
	if err != nil {
		return request, err
	}
	err = cl.call(ctx, http.MethodGet, message.RequestPath(id), nil, &request)
	return request, err
}

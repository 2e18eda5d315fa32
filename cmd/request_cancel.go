package cmd

import (
	"context"
	"net/http"

	"clementinepier/message"
)

type requestCancelCommand struct {
	requestArguments
	ID string `arg:"positional,required" help:"id of the request"`
}

func (*requestCancelCommand) example() string {
	return "request cancel 7c0f --token-file token --entry 10.0.0.1:8080"
}

func (c *requestCancelCommand) run(ctx context.Context, s *invocation) error {
	cl, err := s.requestClient(c.requestArguments)
	if err != nil {
		return err
	}
	var cancelled message.Cancelled
	if err := cl.call(ctx, http.MethodDelete, message.RequestPath(c.ID), nil, &cancelled); err != nil {
		return err
	}
	switch {
	case c.JSON:
		return s.printJSON(cancelled)
	case cancelled.StoppedBeforeStart:
		s.print("cancelled before it started; it was not run")
	default:
		s.print("cancelled; it may have run, see request show")
	}
	return nil
}

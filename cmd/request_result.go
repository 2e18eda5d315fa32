package cmd

import (
	"context"

	"clementinepier/message"
)

type requestResultCommand struct {
	requestArguments
	ID string `arg:"positional,required" help:"id of the request"`
}

func (*requestResultCommand) example() string {
	return "request result 7c0f --token-file token --entry 10.0.0.1:8080 > answer"
}

func (c *requestResultCommand) run(ctx context.Context, s *invocation) error {
	request, err := s.findRequest(ctx, c.requestArguments, c.ID)
	if err != nil {
		return err
	}
	if request.State != message.RequestEnded || request.Outcome == nil {
		return exitf(ExitNotEnded, "request %s is %s", request.Key, request.State)
	}
	return s.printOutcome(*request.Outcome, c.JSON)
}

package owner

import (
	"context"
	"encoding/base64"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/fleet"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/session"
)

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	http connect.HTTPClient
}

// NewClient returns a client that uses the given HTTP client.
func NewClient(httpClient connect.HTTPClient) *Client {
	return &Client{http: httpClient}
}

// Run calls the instance at an address, with the secret of that instance.
func (c *Client) Run(ctx context.Context, address string, secret []byte, request Request) (Response, error) {
	message := connect.NewRequest(encodeRequest(request))
	message.Header().Set(secretHeader, base64.StdEncoding.EncodeToString(secret))
	// Compressing answers of a kilobyte takes longer than sending them.
	uncompressed := connect.WithAcceptCompression("gzip", nil, nil)
	answer, err := nutmegpierv1connect.NewOwnerServiceClient(c.http, "http://"+address, uncompressed).Run(ctx, message)
	if err != nil {
		return Response{}, &Error{Err: err, Kind: errorKind(err), Op: "run"}
	}
	return decodeResponse(answer.Msg), nil
}

// errorKind returns KindNotSent if the error proves that the called instance did not
// read the request.
func errorKind(err error) Kind {
	var netErr *net.OpError
	if connect.CodeOf(err) == connect.CodeUnauthenticated || (errors.As(err, &netErr) && netErr.Op == "dial") {
		return KindNotSent
	}
	return KindUnknown
}

func encodeRequest(request Request) *nutmegpierv1.RunRequest {
	message := &nutmegpierv1.RunRequest{
		AuthorizedUntilNs: int64(request.AuthorizedUntil), Call: string(request.Call), DeadlineNs: int64(request.Deadline), Final: request.Batch.Final,
		Lease: string(request.Lease), SheetVersion: uint64(request.Batch.SheetVersion), Variables: request.Batch.Variables,
	}
	if template := request.Batch.Template; template != nil {
		message.Template = &nutmegpierv1.StatementTemplate{Body: template.Body, Write: template.Write}
	}
	for _, command := range request.Batch.Commands {
		message.Commands = append(message.Commands, &nutmegpierv1.BatchCommand{
			Arguments: command.Arguments, Id: string(command.ID), Kind: string(command.Kind), Name: command.Name, Text: command.Text,
		})
	}
	if requirements := request.Requirements; requirements != nil {
		message.Requirements = encodeRequirements(*requirements)
		message.Requirements.LeaseDeadlineNs = int64(request.RequirementsDeadline)
	}
	return message
}

func encodeRequirements(requirements session.Requirements) *nutmegpierv1.LeaseRequirements {
	message := &nutmegpierv1.LeaseRequirements{
		Consistency: string(requirements.Route.Consistency), Group: string(requirements.Route.Group), LastWrite: encodePosition(requirements.LastWrite),
		MaxAgeMs: int64(requirements.Route.MaxAge), Priority: int64(requirements.Route.Priority), Workspace: string(requirements.Workspace), Write: requirements.Write,
	}
	for server := range requirements.Avoid {
		message.Avoid = append(message.Avoid, string(server))
	}
	return message
}

func decodeResponse(message *nutmegpierv1.RunResponse) Response {
	response := Response{
		Exclusive: message.GetExclusive(),
		Reply:     session.Reply{Position: decodePosition(message.GetPosition()), Rows: message.GetRows(), Signature: message.GetSignature()},
		Server:    fleet.ServerID(message.GetServer()),
	}
	if failure := message.GetFailure(); failure != nil {
		response.Unavailable = failure.GetUnavailable()
		response.Failure = &session.RunError{
			Kind: session.Kind(failure.GetKind()), RetryAfter: time.Duration(failure.GetRetryAfterMs()) * time.Millisecond, Saturated: failure.GetSaturated(), Text: failure.GetText(),
		}
	}
	return response
}

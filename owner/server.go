package owner

import (
	"context"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/fleet"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// secretHeader is the header with the secret of the instance that is called.
const secretHeader = "Nutmegpier-Secret"

// Runner runs the batches of other instances.
type Runner interface {
	// RunForPeer runs one batch.
	RunForPeer(request Request) Response
}

// Server serves the calls of other instances.
type Server struct {
	runner Runner
	secret string
}

var _ nutmegpierv1connect.OwnerServiceHandler = &Server{}

// NewServer returns a server for callers that know the secret.
func NewServer(secret []byte, runner Runner) *Server {
	return &Server{runner: runner, secret: base64.StdEncoding.EncodeToString(secret)}
}

// Handler returns the path and the HTTP handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	return nutmegpierv1connect.NewOwnerServiceHandler(s)
}

// Run serves one call. The batch runs to its end also if the caller disconnects,
// because the connection to the server could not be reused otherwise.
func (s *Server) Run(_ context.Context, request *connect.Request[nutmegpierv1.RunRequest]) (*connect.Response[nutmegpierv1.RunResponse], error) {
	if subtle.ConstantTimeCompare([]byte(request.Header().Get(secretHeader)), []byte(s.secret)) != 1 {
		return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("the secret is not that of this instance"))
	}
	return connect.NewResponse(encodeResponse(s.runner.RunForPeer(decodeRequest(request.Msg)))), nil
}

func decodeRequest(message *nutmegpierv1.RunRequest) Request {
	request := Request{
		AuthorizedUntil: time.Duration(message.GetAuthorizedUntilNs()),
		Batch:           session.Batch{Final: message.GetFinal(), Variables: message.GetVariables()},
		Call:            CallID(message.GetCall()),
		Deadline:        time.Duration(message.GetDeadlineNs()),
		Lease:           LeaseID(message.GetLease()),
	}
	request.Batch.SheetVersion = fleet.SheetVersion(message.GetSheetVersion())
	if template := message.GetTemplate(); template != nil {
		request.Batch.Template = &session.Template{Body: template.GetBody(), Write: template.GetWrite()}
	}
	for _, command := range message.GetCommands() {
		request.Batch.Commands = append(request.Batch.Commands, session.Command{Statement: session.Statement{
			Arguments: command.GetArguments(), ID: session.StatementID(command.GetId()), Kind: session.StatementKind(command.GetKind()),
			Name: command.GetName(), Text: command.GetText(),
		}})
	}
	if message.GetRequirements() != nil {
		requirements := decodeRequirements(message.GetRequirements())
		requirements.Variables = request.Batch.Variables
		request.Requirements = &requirements
		request.RequirementsDeadline = time.Duration(message.GetRequirements().GetLeaseDeadlineNs())
	}
	return request
}

func decodeRequirements(message *nutmegpierv1.LeaseRequirements) session.Requirements {
	requirements := session.Requirements{
		LastWrite: decodePosition(message.GetLastWrite()),
		Route: sheet.Route{
			Consistency: sheet.Consistency(message.GetConsistency()), Group: fleet.GroupID(message.GetGroup()),
			MaxAge: sheet.Milliseconds(message.GetMaxAgeMs()), Priority: int(message.GetPriority()),
		},
		Workspace: fleet.WorkspaceID(message.GetWorkspace()),
		Write:     message.GetWrite(),
	}
	if len(message.GetAvoid()) > 0 {
		requirements.Avoid = map[fleet.ServerID]bool{}
	}
	for _, server := range message.GetAvoid() {
		requirements.Avoid[fleet.ServerID(server)] = true
	}
	return requirements
}

func decodePosition(message *nutmegpierv1.LogPosition) fleet.Position {
	return fleet.Position{Log: fleet.LogPosition(message.GetNumber()), Term: fleet.Term(message.GetTerm())}
}

func encodePosition(position fleet.Position) *nutmegpierv1.LogPosition {
	if position.IsZero() {
		return nil
	}
	return &nutmegpierv1.LogPosition{Number: uint64(position.Log), Term: uint64(position.Term)}
}

func encodeResponse(response Response) *nutmegpierv1.RunResponse {
	message := &nutmegpierv1.RunResponse{
		Exclusive: response.Exclusive, Position: encodePosition(response.Reply.Position), Rows: response.Reply.Rows,
		Server: string(response.Server), Signature: response.Reply.Signature,
	}
	if failure := response.Failure; failure != nil {
		message.Failure = &nutmegpierv1.RunFailure{
			Kind: string(failure.Kind), RetryAfterMs: failure.RetryAfter.Milliseconds(), Saturated: failure.Saturated, Text: failure.Text,
			Unavailable: response.Unavailable,
		}
	}
	return message
}

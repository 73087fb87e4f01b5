// Package operator implements the administration API for operators: the server with
// authentication and roles, and the client.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/document"
	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
)

const (
	// maxDrainAttempts is the maximum number of attempts of a drain or restore that
	// conflicts with other publications. A conflict means that another publication
	// succeeded, so a few attempts suffice unless operators publish without pause.
	maxDrainAttempts = 5
	// maxListedSheets is the maximum number of sheets in a response of ListSheets.
	maxListedSheets = 1000
	// maxRequestBytes is the maximum size of a request. It suffices for the largest
	// sheet encoded as a JSON string.
	maxRequestBytes = 2*document.MaxBytes + 1<<16
	// publicationIDBytes is the number of random bytes in a publication ID. It makes
	// IDs unique without coordination between instances.
	publicationIDBytes = 16
)

// Publication is the result of a publication.
type Publication struct {
	// Changes lists the differences from the current sheet, one line for each.
	Changes []string
	Outcome sheet.Outcome
	// Problems lists the errors in the sheet, or the risks that it adds.
	Problems []string
	// Version is the version that was or would have been written, or the newest
	// version if nothing was written.
	Version fleet.SheetVersion
}

// Publisher publishes sheets.
type Publisher interface {
	// Publish publishes a sheet if the base version of the request is still the
	// newest. An error means that nothing was changed. If the change may have taken
	// effect, the outcome is sheet.OutcomeUnknown and the error is nil. The result
	// of a conflict has the newest version.
	Publish(ctx context.Context, request sheet.PublishRequest) (Publication, error)
}

// Recorder records audit events.
type Recorder interface {
	Record(number event.Number, fields event.Fields)
}

// SheetVersion is one published sheet.
type SheetVersion struct {
	Content string
	Version fleet.SheetVersion
}

// SheetSummary is an entry in the history of published sheets.
type SheetSummary struct {
	Comment     string
	PublishedAt time.Time
	Publisher   string
	Version     fleet.SheetVersion
}

// ErrNoSheet is the error of Sheets.Sheet for a version that does not exist.
var ErrNoSheet = errors.New("the sheet version does not exist")

// Sheets reads published sheets from the platform's table.
type Sheets interface {
	// List returns the newest sheets, newest first.
	List(ctx context.Context, limit int) ([]SheetSummary, error)
	// Sheet returns a sheet version. Zero means the newest version, which is zero
	// with empty content before the first publication. If the version does not
	// exist, the error is ErrNoSheet.
	Sheet(ctx context.Context, version fleet.SheetVersion) (SheetVersion, error)
}

// StatusSource provides the state of the instance.
type StatusSource interface {
	Status() Status
}

// Archive provides the events in the archived snapshots of all instances.
type Archive interface {
	Archived(ctx context.Context, filter event.Filter) ([]event.Event, error)
}

// Timeline provides the events that the instance keeps in memory.
type Timeline interface {
	Events(filter event.Filter) []event.Event
}

// Config holds the dependencies of a Server. All fields except Archive are required.
type Config struct {
	// Archive is nil if events are not archived.
	Archive   Archive
	Publisher Publisher
	Recorder  Recorder
	Sheets    Sheets
	Status    StatusSource
	Timeline  Timeline
	// Tokens returns the bearer tokens that are currently accepted.
	Tokens func() []settings.Token
}

// Server implements the administration API.
type Server struct {
	archive   Archive
	publisher Publisher
	random    io.Reader
	recorder  Recorder
	sheets    Sheets
	status    StatusSource
	timeline  Timeline
	tokens    func() []settings.Token
}

var (
	_ Recorder                                = &event.Recorder{}
	_ Timeline                                = &event.Recorder{}
	_ nutmegpierv1connect.AdminServiceHandler = &Server{}
)

// New returns the administration API of an instance.
func New(config Config) *Server {
	return &Server{
		archive:   config.Archive,
		publisher: config.Publisher,
		random:    rand.Reader,
		recorder:  config.Recorder,
		sheets:    config.Sheets,
		status:    config.Status,
		timeline:  config.Timeline,
		tokens:    config.Tokens,
	}
}

// Handler returns the HTTP handler of the API. Each request requires a bearer token.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := nutmegpierv1connect.NewAdminServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	mux.Handle(path, handler)
	return s.authorize(mux)
}

// Drain takes a data centre or a backend server out of service.
func (s *Server) Drain(ctx context.Context, request *connect.Request[nutmegpierv1.DrainRequest]) (*connect.Response[nutmegpierv1.DrainResponse], error) {
	target := drainTarget{dataCentre: fleet.DataCentre(request.Msg.GetDataCentre()), server: fleet.ServerID(request.Msg.GetServer())}
	publication, err := s.setInService(ctx, target, false, request.Msg.GetForce())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&nutmegpierv1.DrainResponse{Publication: publication}), nil
}

// GetSheet returns one sheet version.
func (s *Server) GetSheet(ctx context.Context, request *connect.Request[nutmegpierv1.GetSheetRequest]) (*connect.Response[nutmegpierv1.GetSheetResponse], error) {
	found, err := s.sheets.Sheet(ctx, fleet.SheetVersion(request.Msg.GetVersion()))
	if err != nil {
		return nil, readError(err)
	}
	return connect.NewResponse(&nutmegpierv1.GetSheetResponse{Content: found.Content, Version: uint64(found.Version)}), nil
}

// ListSheets returns the history of published sheets, newest first.
func (s *Server) ListSheets(ctx context.Context, request *connect.Request[nutmegpierv1.ListSheetsRequest]) (*connect.Response[nutmegpierv1.ListSheetsResponse], error) {
	limit := min(int(request.Msg.GetLimit()), maxListedSheets)
	if limit == 0 {
		limit = maxListedSheets
	}
	summaries, err := s.sheets.List(ctx, limit)
	if err != nil {
		return nil, readError(err)
	}
	response := &nutmegpierv1.ListSheetsResponse{}
	for _, summary := range summaries {
		response.Sheets = append(response.Sheets, &nutmegpierv1.SheetSummary{
			Comment:     summary.Comment,
			PublishedAt: summary.PublishedAt.UTC().Format(time.RFC3339),
			Publisher:   summary.Publisher,
			Version:     uint64(summary.Version),
		})
	}
	return connect.NewResponse(response), nil
}

// PublishSheet publishes a sheet if its base version is still the newest.
func (s *Server) PublishSheet(ctx context.Context, request *connect.Request[nutmegpierv1.PublishSheetRequest]) (*connect.Response[nutmegpierv1.PublishSheetResponse], error) {
	publication, err := s.publish(ctx, sheet.PublishRequest{
		Base:    fleet.SheetVersion(request.Msg.GetBaseVersion()),
		Comment: sheet.Redact(request.Msg.GetComment()),
		Content: request.Msg.GetContent(),
		DryRun:  request.Msg.GetDryRun(),
		Force:   request.Msg.GetForce(),
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(publication), nil
}

// Restore brings a data centre or a backend server back into service.
func (s *Server) Restore(ctx context.Context, request *connect.Request[nutmegpierv1.RestoreRequest]) (*connect.Response[nutmegpierv1.RestoreResponse], error) {
	target := drainTarget{dataCentre: fleet.DataCentre(request.Msg.GetDataCentre()), server: fleet.ServerID(request.Msg.GetServer())}
	publication, err := s.setInService(ctx, target, true, false)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&nutmegpierv1.RestoreResponse{Publication: publication}), nil
}

// Status returns the state of the instance, and of the other instances as it knows
// them.
func (s *Server) Status(context.Context, *connect.Request[nutmegpierv1.StatusRequest]) (*connect.Response[nutmegpierv1.StatusResponse], error) {
	content, err := json.Marshal(s.status.Status())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&nutmegpierv1.StatusResponse{Content: string(content)}), nil
}

// Timeline returns the events in memory, or the archived events of all instances,
// oldest first.
func (s *Server) Timeline(ctx context.Context, request *connect.Request[nutmegpierv1.TimelineRequest]) (*connect.Response[nutmegpierv1.TimelineResponse], error) {
	response := &nutmegpierv1.TimelineResponse{}
	filter := event.Filter{
		Database:  fleet.GroupID(request.Msg.GetDatabase()),
		Limit:     int(request.Msg.GetLimit()),
		Number:    event.Number(request.Msg.GetEvent()),
		Session:   request.Msg.GetSession(),
		Workspace: fleet.WorkspaceID(request.Msg.GetWorkspace()),
	}
	events := s.timeline.Events(filter)
	if request.Msg.GetArchived() {
		if s.archive == nil {
			return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this instance does not archive events"))
		}
		archived, err := s.archive.Archived(ctx, filter)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		events = archived
	}
	for _, e := range events {
		content, err := json.Marshal(e)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		response.Events = append(response.Events, string(content))
	}
	return connect.NewResponse(response), nil
}

// audit records the result of a publication as an event.
func (s *Server) audit(request sheet.PublishRequest, publication Publication, err error) {
	number := event.SheetNotPublished
	text := fmt.Sprintf("publication %s by %s based on version %d: outcome %s, version %d", request.Publication, request.Publisher, request.Base, publication.Outcome, publication.Version)
	switch {
	case err != nil:
		text = fmt.Sprintf("publication %s by %s based on version %d: %v", request.Publication, request.Publisher, request.Base, err)
	case publication.Outcome == sheet.OutcomeAccepted, publication.Outcome == sheet.OutcomeStored:
		number = event.SheetPublished
	}
	s.recorder.Record(number, event.Fields{Text: text})
}

// publish publishes a sheet and records the result. It sets the publication ID and
// the publisher of the request. Dry runs are recorded only if they fail.
func (s *Server) publish(ctx context.Context, request sheet.PublishRequest) (*nutmegpierv1.PublishSheetResponse, error) {
	id := make([]byte, publicationIDBytes)
	if _, err := io.ReadFull(s.random, id); err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	request.Publication = sheet.PublicationID(hex.EncodeToString(id))
	request.Publisher = publisherName(ctx)
	publication, err := s.publisher.Publish(ctx, request)
	if !request.DryRun || err != nil {
		s.audit(request, publication, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, fmt.Errorf("nothing was changed: %s", sheet.Redact(err.Error())))
	}
	return &nutmegpierv1.PublishSheetResponse{
		Diff:     publication.Changes,
		Outcome:  string(publication.Outcome),
		Problems: publication.Problems,
		Version:  uint64(publication.Version),
	}, nil
}

// readError converts an error of Sheets to an error of the API.
func readError(err error) error {
	if errors.Is(err, ErrNoSheet) {
		return connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewError(connect.CodeUnavailable, errors.New(sheet.Redact(err.Error())))
}

// Package operator speaks to operators: the administration API, its roles and
// its client.
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
	// maxDrainAttempts bounds the repeats of a drain whose base version was
	// overtaken. A conflict means that another publication succeeded, so a few
	// attempts suffice unless operators publish without pause.
	maxDrainAttempts = 5
	// maxListed is the largest number of listed sheets.
	maxListed = 1000
	// maxRequestBytes leaves room for the JSON form of the largest sheet.
	maxRequestBytes = 2*document.MaxBytes + 1<<16
	// publicationIDBytes makes ids unique without agreement.
	publicationIDBytes = 16
)

// Publication is what became of a publication.
type Publication struct {
	// Changes lists the differences from the sheet in force, one a line.
	Changes []string
	Outcome sheet.Outcome
	// Problems lists what is wrong with the sheet or unsafe in it.
	Problems []string
	Version  fleet.SheetVersion
}

// Publisher publishes sheets.
type Publisher interface {
	// Publish publishes against the base version of the request. An error means
	// that nothing was changed; a change that may have taken effect is
	// sheet.OutcomeUnknown. A conflict states the version of the head row.
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

// SheetSummary is an entry of the history of sheets.
type SheetSummary struct {
	Comment     string
	PublishedAt time.Time
	Publisher   string
	Version     fleet.SheetVersion
}

// ErrNoSheet is returned by Sheets for a version that does not exist.
var ErrNoSheet = errors.New("no such sheet version")

// Sheets reads published sheets.
type Sheets interface {
	// List returns the newest sheets, newest first.
	List(ctx context.Context, limit int) ([]SheetSummary, error)
	// Sheet returns a version; zero means the one in force. Before the first
	// publication that is version zero with no content. The error is ErrNoSheet
	// when the version does not exist. A version that the instance does not
	// hold is read from the table.
	Sheet(ctx context.Context, version fleet.SheetVersion) (SheetVersion, error)
}

// StatusSource gives the state of the instance.
type StatusSource interface {
	Status() Status
}

// Archive gives the events in the snapshots of all instances.
type Archive interface {
	Archived(ctx context.Context, filter event.Filter) ([]event.Event, error)
}

// Timeline gives recorded events.
type Timeline interface {
	Events(filter event.Filter) []event.Event
}

// Config are what a Server needs. All but Archive are required.
type Config struct {
	// Archive is nil where no snapshots are kept.
	Archive   Archive
	Publisher Publisher
	Recorder  Recorder
	Sheets    Sheets
	Status    StatusSource
	Timeline  Timeline
	// Tokens returns the bearer tokens that are accepted now.
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
func New(parts Config) *Server {
	return &Server{
		archive:   parts.Archive,
		publisher: parts.Publisher,
		random:    rand.Reader,
		recorder:  parts.Recorder,
		sheets:    parts.Sheets,
		status:    parts.Status,
		timeline:  parts.Timeline,
		tokens:    parts.Tokens,
	}
}

// Handler returns the HTTP handler of the API. Each request needs a token.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := nutmegpierv1connect.NewAdminServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	mux.Handle(path, handler)
	return s.authorize(mux)
}

// Drain takes a data centre or a backend server out of service.
func (s *Server) Drain(ctx context.Context, request *connect.Request[nutmegpierv1.DrainRequest]) (*connect.Response[nutmegpierv1.DrainResponse], error) {
	target := placement{dataCentre: fleet.DataCentre(request.Msg.GetDataCentre()), server: fleet.ServerID(request.Msg.GetServer())}
	publication, err := s.place(ctx, target, false, request.Msg.GetForce())
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

// ListSheets returns the history of sheets, newest first.
func (s *Server) ListSheets(ctx context.Context, request *connect.Request[nutmegpierv1.ListSheetsRequest]) (*connect.Response[nutmegpierv1.ListSheetsResponse], error) {
	limit := min(int(request.Msg.GetLimit()), maxListed)
	if limit == 0 {
		limit = maxListed
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

// PublishSheet publishes a sheet against the version that the operator saw.
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

// Restore brings a data centre or a backend server back.
func (s *Server) Restore(ctx context.Context, request *connect.Request[nutmegpierv1.RestoreRequest]) (*connect.Response[nutmegpierv1.RestoreResponse], error) {
	target := placement{dataCentre: fleet.DataCentre(request.Msg.GetDataCentre()), server: fleet.ServerID(request.Msg.GetServer())}
	publication, err := s.place(ctx, target, true, false)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&nutmegpierv1.RestoreResponse{Publication: publication}), nil
}

// Status returns the state of the instance and what it knows of the others.
func (s *Server) Status(context.Context, *connect.Request[nutmegpierv1.StatusRequest]) (*connect.Response[nutmegpierv1.StatusResponse], error) {
	content, err := json.Marshal(s.status.Status())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&nutmegpierv1.StatusResponse{Content: string(content)}), nil
}

// Timeline returns recorded events, oldest first.
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
			return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this instance keeps no snapshots"))
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

// audit records what became of a publication.
func (s *Server) audit(request sheet.PublishRequest, publication Publication, err error) {
	number := event.SheetNotPublished
	text := fmt.Sprintf("%s by %s on base %d: %s version %d", request.Publication, request.Publisher, request.Base, publication.Outcome, publication.Version)
	switch {
	case err != nil:
		text = fmt.Sprintf("%s by %s on base %d: %v", request.Publication, request.Publisher, request.Base, err)
	case publication.Outcome == sheet.OutcomeAccepted, publication.Outcome == sheet.OutcomeStored:
		number = event.SheetPublished
	}
	s.recorder.Record(number, event.Fields{Text: text})
}

// publish gives the request its publication id and publisher.
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

func readError(err error) error {
	if errors.Is(err, ErrNoSheet) {
		return connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewError(connect.CodeUnavailable, errors.New(sheet.Redact(err.Error())))
}

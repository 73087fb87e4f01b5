package operator

import (
	"cmp"
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// emptySheet is edited when no sheet has been published yet.
const emptySheet = `{"Format": 1}`

// inForce asks for the sheet in force.
const inForce fleet.SheetVersion = 0

// placement names a data centre or a backend server.
type placement struct {
	dataCentre fleet.DataCentre
	server     fleet.ServerID
}

func (p placement) check() error {
	if (p.dataCentre == "") == (p.server == "") {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("want either a data centre or a server"))
	}
	return nil
}

// edit returns the sheet with the place in or out of service.
func (p placement) edit(content string, inService bool) (string, error) {
	state := sheet.StateInService
	if p.dataCentre != "" {
		if !inService {
			state = sheet.StateOut
		}
		return sheet.SetDataCentre(content, p.dataCentre, state)
	}
	if !inService {
		state = sheet.StateLeaving
	}
	return sheet.SetServer(content, p.server, state)
}

func (p placement) fields(ctx context.Context) event.Fields {
	text := "by " + publisherName(ctx)
	if p.dataCentre != "" {
		text = "data centre " + string(p.dataCentre) + " " + text
	}
	return event.Fields{Server: p.server, Text: text}
}

// place edits the sheet in force and publishes it against the version that was
// read. A conflict means that another operator was faster; the edit is then
// repeated on the version that the conflict names, which this instance may not
// hold in force yet. It publishes also when the sheet in force reads
// as wanted, because only a publication proves that it is the newest one.
func (s *Server) place(ctx context.Context, target placement, inService, force bool) (*nutmegpierv1.PublishSheetResponse, error) {
	if err := target.check(); err != nil {
		return nil, err
	}
	number, comment := event.DrainRequested, "drain "
	if inService {
		number, comment = event.RestoreRequested, "restore "
	}
	s.recorder.Record(number, target.fields(ctx))
	comment += cmp.Or(string(target.dataCentre), string(target.server))
	var response *nutmegpierv1.PublishSheetResponse
	version := inForce
	for range maxDrainAttempts {
		current, err := s.sheets.Sheet(ctx, version)
		if err != nil {
			return nil, connect.NewError(connect.CodeAborted, errors.New("nothing was changed: "+sheet.Redact(err.Error())))
		}
		content, err := target.edit(cmp.Or(current.Content, emptySheet), inService)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		response, err = s.publish(ctx, sheet.PublishRequest{Base: current.Version, Comment: comment, Content: content, Force: force})
		if err != nil || response.GetOutcome() != string(sheet.OutcomeConflict) {
			return response, err
		}
		version = fleet.SheetVersion(response.GetVersion())
	}
	return response, nil
}

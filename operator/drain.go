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

// emptySheet is the sheet that is edited if none has been published yet.
const emptySheet = `{"Format": 1}`

// latestVersion requests the newest sheet.
const latestVersion fleet.SheetVersion = 0

// drainTarget is the data centre or the backend server that is drained or restored.
// Exactly one of the fields is set.
type drainTarget struct {
	dataCentre fleet.DataCentre
	server     fleet.ServerID
}

func (t drainTarget) validate() error {
	if (t.dataCentre == "") == (t.server == "") {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("exactly one of data centre and server must be set"))
	}
	return nil
}

// edit returns the sheet with the target brought back into or taken out of service.
func (t drainTarget) edit(content string, inService bool) (string, error) {
	state := sheet.StateInService
	if t.dataCentre != "" {
		if !inService {
			state = sheet.StateOut
		}
		return sheet.SetDataCentre(content, t.dataCentre, state)
	}
	if !inService {
		state = sheet.StateLeaving
	}
	return sheet.SetServer(content, t.server, state)
}

// eventFields returns the fields of the event that records the request.
func (t drainTarget) eventFields(ctx context.Context) event.Fields {
	text := "requested by " + publisherName(ctx)
	if t.dataCentre != "" {
		text = "data centre " + string(t.dataCentre) + " " + text
	}
	return event.Fields{Server: t.server, Text: text}
}

// setInService brings the target back into service or takes it out of service: it
// edits and publishes the newest sheet. If another operator published in between, it
// edits the version that the conflict names, even if s.sheets still returns an older
// one as the newest. It publishes even an edit that changes nothing, because only a
// successful publication proves that the sheet was the newest.
func (s *Server) setInService(ctx context.Context, target drainTarget, inService, force bool) (*nutmegpierv1.PublishSheetResponse, error) {
	if err := target.validate(); err != nil {
		return nil, err
	}
	number, comment := event.DrainRequested, "drain "
	if inService {
		number, comment = event.RestoreRequested, "restore "
	}
	s.recorder.Record(number, target.eventFields(ctx))
	comment += cmp.Or(string(target.dataCentre), string(target.server))
	var response *nutmegpierv1.PublishSheetResponse
	version := latestVersion
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

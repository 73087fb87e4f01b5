package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/sheet"
)

const (
	// acceptWait bounds the wait for a majority of the roster to hold a sheet.
	acceptWait = 8 * time.Second
	// resolvePause is the wait between attempts to settle a write without an answer.
	resolvePause = 200 * time.Millisecond
)

// holders is what the publisher needs of the other instances.
type holders interface {
	// AwaitMajority waits until a majority of the roster holds the version.
	AwaitMajority(ctx context.Context, version fleet.SheetVersion) error
	// OfferSheet takes in a version that this instance has published.
	OfferSheet(version fleet.SheetVersion, content []byte) error
}

// publisher publishes sheets to the table and reads the published ones.
type publisher struct {
	holders holders
	now     func() time.Time
	table   metastore.Table
	usage   func() sheet.Deployment
}

var (
	_ operator.Publisher = &publisher{}
	_ operator.Sheets    = &publisher{}
)

// storedHead is the head row with the newest sheet.
type storedHead struct {
	// afterBase is the row of the version after the base of a request.
	afterBase sheet.VersionRow
	head      peer.Head
	record    sheet.Record
	revision  metastore.Revision
	sheet     sheet.Sheet
}

// Publish publishes against the base version of the request. The write is
// conditional on the head row, so that one of several racing requests wins.
func (p *publisher) Publish(ctx context.Context, request sheet.PublishRequest) (operator.Publication, error) {
	written := false
	for {
		stored, err := p.readHead(ctx)
		if err == nil {
			stored.afterBase, err = p.readBack(ctx, stored, request.Base)
		}
		if err != nil && written {
			// An earlier attempt may still take effect.
			return operator.Publication{Outcome: sheet.OutcomeUnknown, Version: request.Base + 1}, nil
		}
		if err != nil {
			return operator.Publication{}, err
		}
		decision := sheet.DecidePublish(p.state(stored), request)
		publication := operator.Publication{
			Changes:  decision.Changes,
			Outcome:  decision.Outcome,
			Problems: decision.Problems,
			Version:  decision.Version,
		}
		if decision.Outcome == sheet.OutcomeStored {
			publication.Outcome = p.spread(ctx, decision.Version, stored.record)
			return publication, nil
		}
		if !decision.Write {
			return publication, nil
		}
		record := sheet.Record{
			Comment:     request.Comment,
			Content:     request.Content,
			Publication: request.Publication,
			PublishedAt: p.now(),
			Publisher:   request.Publisher,
		}
		written = true
		resolution, err := p.write(ctx, stored, decision.Version, record)
		if err != nil {
			publication.Outcome = sheet.OutcomeUnknown
			return publication, nil
		}
		if resolution == sheet.ResolutionStored {
			publication.Outcome = p.spread(ctx, decision.Version, record)
			return publication, nil
		}
	}
}

// List returns the newest sheets, newest first.
func (p *publisher) List(ctx context.Context, limit int) ([]operator.SheetSummary, error) {
	stored, err := p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var summaries []operator.SheetSummary
	for version := stored.head.SheetVersion; version > 0 && len(summaries) < limit; version-- {
		record, found, err := p.readRecord(ctx, version)
		if err != nil {
			return nil, err
		}
		if !found {
			break
		}
		summaries = append(summaries, operator.SheetSummary{
			Comment:     record.Comment,
			PublishedAt: record.PublishedAt,
			Publisher:   record.Publisher,
			Version:     version,
		})
	}
	return summaries, nil
}

// Sheet returns a version; zero means the one in force.
func (p *publisher) Sheet(ctx context.Context, version fleet.SheetVersion) (operator.SheetVersion, error) {
	if version == 0 {
		stored, err := p.readHead(ctx)
		if err != nil {
			return operator.SheetVersion{}, err
		}
		return operator.SheetVersion{Content: stored.record.Content, Version: stored.head.SheetVersion}, nil
	}
	record, found, err := p.readRecord(ctx, version)
	if err != nil {
		return operator.SheetVersion{}, err
	}
	if !found {
		return operator.SheetVersion{}, operator.ErrNoSheet
	}
	return operator.SheetVersion{Content: record.Content, Version: version}, nil
}

func (p *publisher) state(stored storedHead) sheet.PublishState {
	return sheet.PublishState{
		AfterBase:       stored.afterBase,
		Current:         stored.sheet,
		Head:            stored.head.SheetVersion,
		HeadPublication: stored.record.Publication,
		Deployment:      p.usage(),
	}
}

// readBack reads the row of the version after the base of a request, if the
// head has passed the base.
func (p *publisher) readBack(ctx context.Context, stored storedHead, base fleet.SheetVersion) (sheet.VersionRow, error) {
	if stored.head.SheetVersion <= base {
		return sheet.VersionRow{}, nil
	}
	record, found, err := p.readRecord(ctx, base+1)
	return sheet.VersionRow{Found: found, Publication: record.Publication}, err
}

// write writes a version. A write without an answer is settled by reading the
// row of the version, until the context ends.
func (p *publisher) write(ctx context.Context, stored storedHead, version fleet.SheetVersion, record sheet.Record) (sheet.Resolution, error) {
	encoded, err := record.Encode()
	if err != nil {
		return "", err
	}
	head, err := json.Marshal(peer.Head{RosterGeneration: stored.head.RosterGeneration, SheetVersion: version})
	if err != nil {
		return "", fmt.Errorf("encode head row: %w", err)
	}
	conditions := []metastore.Condition{
		{Key: peer.HeadKey, Revision: stored.revision},
		{Key: peer.SheetKey(version)},
	}
	rows := []metastore.Row{
		{Key: peer.HeadKey, Value: head},
		{Key: peer.SheetKey(version), Value: encoded},
	}
	applied, _, err := p.table.Write(ctx, conditions, rows)
	if err == nil && applied {
		return sheet.ResolutionStored, nil
	}
	return p.resolve(ctx, version, record.Publication)
}

func (p *publisher) resolve(ctx context.Context, version fleet.SheetVersion, publication sheet.PublicationID) (sheet.Resolution, error) {
	for {
		record, found, err := p.readRecord(ctx, version)
		if err == nil {
			return sheet.Resolve(publication, sheet.VersionRow{Found: found, Publication: record.Publication}), nil
		}
		if err := pause(ctx, resolvePause); err != nil {
			return "", err
		}
	}
}

// spread hands the version to the other instances and waits until a majority
// of the roster holds it.
func (p *publisher) spread(ctx context.Context, version fleet.SheetVersion, record sheet.Record) sheet.Outcome {
	encoded, err := record.Encode()
	if err != nil {
		return sheet.OutcomeStored
	}
	if err := p.holders.OfferSheet(version, encoded); err != nil {
		return sheet.OutcomeStored
	}
	ctx, cancel := context.WithTimeout(ctx, acceptWait)
	defer cancel()
	if err := p.holders.AwaitMajority(ctx, version); err != nil {
		return sheet.OutcomeStored
	}
	return sheet.OutcomeAccepted
}

func (p *publisher) readHead(ctx context.Context) (storedHead, error) {
	rows, err := p.table.Read(ctx, peer.HeadKey)
	if err != nil || len(rows) == 0 {
		return storedHead{}, err
	}
	stored := storedHead{revision: rows[0].Revision}
	if err := json.Unmarshal(rows[0].Value, &stored.head); err != nil {
		return storedHead{}, fmt.Errorf("head row: %w", err)
	}
	if stored.head.SheetVersion == 0 {
		return stored, nil
	}
	record, found, err := p.readRecord(ctx, stored.head.SheetVersion)
	if err != nil {
		return storedHead{}, err
	}
	if !found {
		return storedHead{}, errors.New("the row of the newest sheet is missing")
	}
	stored.record = record
	stored.sheet, err = sheet.Parse("sheet", []byte(record.Content))
	return stored, err
}

func (p *publisher) readRecord(ctx context.Context, version fleet.SheetVersion) (record sheet.Record, found bool, err error) {
	rows, err := p.table.Read(ctx, peer.SheetKey(version))
	if err != nil || len(rows) == 0 {
		return sheet.Record{}, false, err
	}
	record, err = sheet.ParseRecord(rows[0].Value)
	return record, true, err
}

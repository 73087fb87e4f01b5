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
	// majorityTimeout bounds the wait until a majority of the roster holds a sheet.
	majorityTimeout = 8 * time.Second
	// resolveRetryInterval is the delay between attempts to read whether a write
	// without an answer took effect.
	resolveRetryInterval = 200 * time.Millisecond
)

// distributor distributes published sheets to the other instances.
type distributor interface {
	// AwaitMajority waits until a majority of the roster holds the version.
	AwaitMajority(ctx context.Context, version fleet.SheetVersion) error
	// OfferSheet applies a version that this instance has published and makes it
	// available to the other instances.
	OfferSheet(version fleet.SheetVersion, content []byte) error
}

// publisher writes sheets to the store's table and reads published ones from it.
type publisher struct {
	distributor distributor
	now         func() time.Time
	table       metastore.Table
	deployment  func() sheet.Deployment
}

var (
	_ operator.Publisher = &publisher{}
	_ operator.Sheets    = &publisher{}
)

// storedHead is the head row of the table with the sheet that it names, the newest
// one.
type storedHead struct {
	// afterBase is the row of the version after the request's base version.
	afterBase sheet.VersionRow
	head      peer.Head
	record    sheet.Record
	revision  metastore.Revision
	sheet     sheet.Sheet
}

// Publish publishes a sheet as the version after the request's base version. The
// write is conditional on the head row, so that only one of several concurrent
// requests succeeds.
func (p *publisher) Publish(ctx context.Context, request sheet.PublishRequest) (operator.Publication, error) {
	writeAttempted := false
	for {
		stored, err := p.readHead(ctx)
		if err == nil {
			stored.afterBase, err = p.readBack(ctx, stored, request.Base)
		}
		if err != nil && writeAttempted {
			// A write of an earlier iteration may still take effect.
			return operator.Publication{Outcome: sheet.OutcomeUnknown, Version: request.Base + 1}, nil
		}
		if err != nil {
			return operator.Publication{}, err
		}
		decision := sheet.DecidePublish(p.publishState(stored), request)
		publication := operator.Publication{
			Changes:  decision.Changes,
			Outcome:  decision.Outcome,
			Problems: decision.Problems,
			Version:  decision.Version,
		}
		if decision.Outcome == sheet.OutcomeStored {
			publication.Outcome = p.distribute(ctx, decision.Version, stored.record)
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
		writeAttempted = true
		resolution, err := p.write(ctx, stored, decision.Version, record)
		if err != nil {
			publication.Outcome = sheet.OutcomeUnknown
			return publication, nil
		}
		if resolution == sheet.ResolutionStored {
			publication.Outcome = p.distribute(ctx, decision.Version, record)
			return publication, nil
		}
	}
}

// List returns at most limit published sheets, newest first.
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

// Sheet returns a published version; version zero means the newest one.
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

// publishState returns the state on which sheet.DecidePublish decides.
func (p *publisher) publishState(stored storedHead) sheet.PublishState {
	return sheet.PublishState{
		AfterBase:       stored.afterBase,
		Current:         stored.sheet,
		Head:            stored.head.SheetVersion,
		HeadPublication: stored.record.Publication,
		Deployment:      p.deployment(),
	}
}

// readBack reads the row of the version after the request's base version if the
// head is past the base. It shows whether an earlier attempt of the same request
// took effect.
func (p *publisher) readBack(ctx context.Context, stored storedHead, base fleet.SheetVersion) (sheet.VersionRow, error) {
	if stored.head.SheetVersion <= base {
		return sheet.VersionRow{}, nil
	}
	record, found, err := p.readRecord(ctx, base+1)
	return sheet.VersionRow{Found: found, Publication: record.Publication}, err
}

// write writes the row of a version and the head row. If the write is not
// confirmed, write reads the version's row back to find out whether it took
// effect.
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

// resolve reads the row of a version until the read succeeds or the context ends,
// and reports whether the row was written by the publication.
func (p *publisher) resolve(ctx context.Context, version fleet.SheetVersion, publication sheet.PublicationID) (sheet.Resolution, error) {
	for {
		record, found, err := p.readRecord(ctx, version)
		if err == nil {
			return sheet.Resolve(publication, sheet.VersionRow{Found: found, Publication: record.Publication}), nil
		}
		if err := sleep(ctx, resolveRetryInterval); err != nil {
			return "", err
		}
	}
}

// distribute makes the version available to the other instances and waits until a
// majority of the roster holds it.
func (p *publisher) distribute(ctx context.Context, version fleet.SheetVersion, record sheet.Record) sheet.Outcome {
	encoded, err := record.Encode()
	if err != nil {
		return sheet.OutcomeStored
	}
	if err := p.distributor.OfferSheet(version, encoded); err != nil {
		return sheet.OutcomeStored
	}
	ctx, cancel := context.WithTimeout(ctx, majorityTimeout)
	defer cancel()
	if err := p.distributor.AwaitMajority(ctx, version); err != nil {
		return sheet.OutcomeStored
	}
	return sheet.OutcomeAccepted
}

// readHead reads the head row and the row of the sheet that it names. Without a
// head row it returns a zero storedHead.
func (p *publisher) readHead(ctx context.Context) (storedHead, error) {
	rows, err := p.table.Read(ctx, peer.HeadKey)
	if err != nil || len(rows) == 0 {
		return storedHead{}, err
	}
	stored := storedHead{revision: rows[0].Revision}
	if err := json.Unmarshal(rows[0].Value, &stored.head); err != nil {
		return storedHead{}, fmt.Errorf("decode head row: %w", err)
	}
	if stored.head.SheetVersion == 0 {
		return stored, nil
	}
	record, found, err := p.readRecord(ctx, stored.head.SheetVersion)
	if err != nil {
		return storedHead{}, err
	}
	if !found {
		return storedHead{}, errors.New("the head row names a sheet version that has no row")
	}
	stored.record = record
	stored.sheet, err = sheet.Parse("sheet", []byte(record.Content))
	return stored, err
}

// readRecord reads the row of a version.
func (p *publisher) readRecord(ctx context.Context, version fleet.SheetVersion) (record sheet.Record, found bool, err error) {
	rows, err := p.table.Read(ctx, peer.SheetKey(version))
	if err != nil || len(rows) == 0 {
		return sheet.Record{}, false, err
	}
	record, err = sheet.ParseRecord(rows[0].Value)
	return record, true, err
}

package demo

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// scramIterations is the least count that RFC 7677 asks for. It keeps the
// start of many sessions in a measurement short.
const scramIterations = 4096

// WorkspaceKey is the key of a workspace of the demo.
type WorkspaceKey struct {
	Databases []fleet.GroupID
	Key       string
	Workspace fleet.WorkspaceID
}

// newSheet makes a key for each workspace and returns the sheet.
func (d *Demo) newSheet() (string, error) {
	published := sheet.Sheet{Format: 1}
	for _, deployment := range d.options.Deployments {
		for _, workspace := range deployment.Workspaces {
			key, err := newKey()
			if err != nil {
				return "", err
			}
			d.keys = append(d.keys, WorkspaceKey{Databases: workspace.Databases, Key: key.Key, Workspace: workspace.Workspace})
			published.Workspaces = append(published.Workspaces, sheet.Workspace{
				Burst:      workspace.Burst,
				Databases:  workspace.Databases,
				Iterations: key.Iterations,
				Keys:       []sheet.Key{key.Verifier},
				Rate:       workspace.Rate,
				Salt:       key.Salt,
				Weight:     workspace.Weight,
				Workspace:  workspace.Workspace,
			})
		}
		for _, dataCentre := range deployment.DataCentres {
			published.DataCentres = append(published.DataCentres, sheet.DataCentre{DataCentre: dataCentre, State: sheet.StateInService})
		}
	}
	encoded, err := json.MarshalIndent(published, "", "  ")
	if err != nil {
		return "", &Error{Op: "encode sheet", Kind: KindStart, Err: err}
	}
	return string(encoded), nil
}

// publish publishes the first sheet through the administration API.
func (d *Demo) publish(ctx context.Context, client *operator.Client, content string) error {
	publication, err := client.Publish(ctx, sheet.PublishRequest{Comment: "first sheet of the demo", Content: content})
	if err != nil {
		return &Error{Op: "publish", Kind: KindStart, Err: err}
	}
	if publication.Outcome != sheet.OutcomeAccepted {
		return &Error{Op: "publish", Kind: KindStart, Err: fmt.Errorf("outcome is %s: %v", publication.Outcome, publication.Problems)}
	}
	return nil
}

func newKey() (sheet.GeneratedKey, error) {
	salt, err := sheet.GenerateSalt(rand.Reader)
	if err != nil {
		return sheet.GeneratedKey{}, &Error{Op: "generate salt", Kind: KindStart, Err: err}
	}
	key, err := sheet.GenerateKey(rand.Reader, salt, scramIterations)
	if err != nil {
		return sheet.GeneratedKey{}, &Error{Op: "generate key", Kind: KindStart, Err: err}
	}
	return key, nil
}

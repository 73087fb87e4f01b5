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

// scramIterations is the minimum that RFC 7677 asks for. A low count keeps
// authentication cheap in measurements that open many sessions.
const scramIterations = 4096

// WorkspaceKey is the secret key of a workspace, and the databases it may use.
type WorkspaceKey struct {
	Databases []fleet.GroupID
	Key       string
	Workspace fleet.WorkspaceID
}

// generateKeysAndSheet generates a key for each workspace, stores the keys in d and
// returns the sheet, the operators' configuration, as JSON.
func (d *Demo) generateKeysAndSheet() (string, error) {
	initial := sheet.Sheet{Format: 1}
	for _, deployment := range d.options.Deployments {
		for _, workspace := range deployment.Workspaces {
			key, err := generateKey()
			if err != nil {
				return "", err
			}
			d.keys = append(d.keys, WorkspaceKey{Databases: workspace.Databases, Key: key.Key, Workspace: workspace.Workspace})
			initial.Workspaces = append(initial.Workspaces, sheet.Workspace{
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
			initial.DataCentres = append(initial.DataCentres, sheet.DataCentre{DataCentre: dataCentre, State: sheet.StateInService})
		}
	}
	encoded, err := json.MarshalIndent(initial, "", "  ")
	if err != nil {
		return "", &Error{Op: "encode sheet", Kind: KindStart, Err: err}
	}
	return string(encoded), nil
}

// publish publishes the initial sheet through the administration API.
func (d *Demo) publish(ctx context.Context, client *operator.Client, content string) error {
	publication, err := client.Publish(ctx, sheet.PublishRequest{Comment: "first sheet of the demo", Content: content})
	if err != nil {
		return &Error{Op: "publish", Kind: KindStart, Err: err}
	}
	if publication.Outcome != sheet.OutcomeAccepted {
		return &Error{Op: "publish", Kind: KindStart, Err: fmt.Errorf("the sheet was not accepted: outcome %s, problems %v", publication.Outcome, publication.Problems)}
	}
	return nil
}

func generateKey() (sheet.GeneratedKey, error) {
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

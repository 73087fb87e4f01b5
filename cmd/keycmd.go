package cmd

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// keyOptions holds the flags of "key new".
type keyOptions struct {
	iterations int
	salt       string
	sheetFile  string
	workspace  string
}

func newKeyCmd(options *globalOptions) *cobra.Command {
	var flags keyOptions
	create := &cobra.Command{
		Args: exactArgs(),
		Example: "  # A key for a workspace that is already in a sheet:\n" +
			"  nutmegpier key new --sheet sheet.hujson --workspace die-room\n" +
			"  # The first key of a new workspace, with a new salt:\n" +
			"  nutmegpier key new",
		Long: "New generates a key and prints it once, with the verifier for the sheet. The key is not stored.\n" +
			"All keys of a workspace share one salt and iteration count: take them from the sheet, or give\nboth as flags. Without either, a new salt is generated.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.validate(); err != nil {
				return usageError(cmd, err)
			}
			return runKeyNew(cmd, options, flags)
		},
		Short: "Generate a new key",
		Use:   "new",
	}
	create.Flags().IntVar(&flags.iterations, "iterations", sheet.DefaultIterations, "SCRAM iteration count of the workspace")
	create.Flags().StringVar(&flags.salt, "salt", "", "SCRAM salt of the workspace, in base64")
	create.Flags().StringVar(&flags.sheetFile, "sheet", "", "sheet file that contains the workspace")
	create.Flags().StringVar(&flags.workspace, "workspace", "", "workspace whose salt and iteration count are used")
	return newGroupCmd("key", "Manage callers' keys", create)
}

func runKeyNew(cmd *cobra.Command, options *globalOptions, flags keyOptions) error {
	if err := flags.resolveSalt(); err != nil {
		return inputError(cmd, err)
	}
	generated, err := sheet.GenerateKey(rand.Reader, flags.salt, flags.iterations)
	if err != nil {
		return inputError(cmd, err)
	}
	return options.print(cmd, generated, func(out io.Writer) error {
		verifier, err := json.Marshal(generated.Verifier)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "Key (shown once, for the caller):\n  %s\nFor the workspace in the sheet:\n  \"Salt\": %q, \"Iterations\": %d,\nFor its Keys:\n  %s\n", generated.Key, generated.Salt, generated.Iterations, verifier)
		return err
	})
}

// validate checks the combination of flags.
func (k *keyOptions) validate() error {
	switch {
	case (k.sheetFile == "") != (k.workspace == ""):
		return errors.New("--sheet and --workspace must be given together")
	case k.sheetFile != "" && k.salt != "":
		return errors.New("--sheet and --salt cannot be given together")
	default:
		return nil
	}
}

// resolveSalt sets the salt and iteration count from the sheet if one is given.
// Without a sheet and a salt it generates a salt.
func (k *keyOptions) resolveSalt() error {
	if k.sheetFile != "" {
		return k.loadFromSheet()
	}
	if k.salt != "" {
		return nil
	}
	salt, err := sheet.GenerateSalt(rand.Reader)
	k.salt = salt
	return err
}

// loadFromSheet sets the salt and iteration count of the workspace from the sheet
// file.
func (k *keyOptions) loadFromSheet() error {
	content, err := os.ReadFile(k.sheetFile)
	if err != nil {
		return err
	}
	parsed, err := sheet.Parse(k.sheetFile, content)
	if err != nil {
		return err
	}
	for _, workspace := range parsed.Workspaces {
		if workspace.Workspace == fleet.WorkspaceID(k.workspace) {
			k.salt, k.iterations = workspace.Salt, workspace.Iterations
			return nil
		}
	}
	return fmt.Errorf("%s has no workspace %s", k.sheetFile, k.workspace)
}

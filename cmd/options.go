package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// Output formats.
const (
	formatJSON = "json"
	formatText = "text"
)

// defaultAdmin is the default URL of the administration API.
const defaultAdmin = "http://127.0.0.1:6434"

// globalOptions holds the flags that all commands share.
type globalOptions struct {
	admin     []string
	format    string
	timeout   time.Duration
	tokenFile string
}

// validate checks the values of the flags.
func (o *globalOptions) validate() error {
	if o.format != formatJSON && o.format != formatText {
		return &Error{Err: fmt.Errorf("--format %q: want text or json", o.format), Op: "nutmegpier", Status: exitUsage}
	}
	for _, text := range o.admin {
		if u, err := url.Parse(text); err != nil || u.Host == "" {
			return &Error{Err: fmt.Errorf("--admin %q: want a URL such as %s", text, defaultAdmin), Op: "nutmegpier", Status: exitUsage}
		}
	}
	return nil
}

// client returns a client for the instance of --admin, which must be given once.
func (o *globalOptions) client(cmd *cobra.Command) (*operator.Client, error) {
	clients, err := o.clients(cmd)
	if err != nil {
		return nil, err
	}
	if len(clients) != 1 {
		return nil, usageError(cmd, errors.New("want exactly one --admin URL"))
	}
	return clients[0], nil
}

// clients returns a client for each instance of --admin.
func (o *globalOptions) clients(cmd *cobra.Command) ([]*operator.Client, error) {
	if o.tokenFile == "" {
		return nil, usageError(cmd, errors.New("--token-file is missing"))
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, inputError(cmd, err)
	}
	var clients []*operator.Client
	for _, text := range o.admin {
		clients = append(clients, operator.NewClient(http.DefaultClient, text, strings.TrimSpace(string(token))))
	}
	return clients, nil
}

// context returns the context of a call to an instance, with the timeout of
// --timeout.
func (o *globalOptions) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	parent := cmd.Context()
	if parent == nil {
		parent = context.Background()
	}
	return context.WithTimeout(parent, o.timeout)
}

// nonNil returns an empty list instead of nil, so that its JSON form is [] and not
// null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// print writes the value as JSON, or calls text to write its text form.
func (o *globalOptions) print(cmd *cobra.Command, value any, text func(out io.Writer) error) error {
	out := cmd.OutOrStdout()
	if o.format == formatText {
		return text(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printPublication prints the outcome of a publication. It returns an error with the
// exit status of the outcome, or nil if the publication succeeded.
func (o *globalOptions) printPublication(cmd *cobra.Command, publication operator.Publication) error {
	err := o.print(cmd, publication, func(out io.Writer) error {
		for _, line := range append(publication.Changes, publication.Problems...) {
			fmt.Fprintln(out, line)
		}
		_, err := fmt.Fprintf(out, "%s: version %d\n", publication.Outcome, publication.Version)
		return err
	})
	if err != nil {
		return err
	}
	return publicationError(cmd, publication)
}

// register defines the flags.
func (o *globalOptions) register(flags *pflag.FlagSet) {
	flags.StringSliceVar(&o.admin, "admin", []string{defaultAdmin}, "URL of an instance's administration API; timeline accepts several")
	flags.StringVar(&o.format, "format", formatText, "output format: text or json")
	flags.DurationVar(&o.timeout, "timeout", 10*time.Second, "maximum duration of a call to an instance")
	flags.StringVar(&o.tokenFile, "token-file", "", "file with the bearer token for the administration API")
}

// callError returns an error of a call to the administration API with its exit
// status.
func callError(cmd *cobra.Command, err error) error {
	status := exitFailure
	var failed *operator.Error
	if errors.As(err, &failed) {
		switch failed.Kind {
		case operator.KindInvalid:
			status = exitUsage
		case operator.KindUnknownOutcome:
			status = exitUnknown
		}
	}
	return &Error{Err: err, Op: cmd.CommandPath(), Status: status}
}

// publicationError returns the error for the outcome of a publication, or nil if it
// succeeded.
func publicationError(cmd *cobra.Command, publication operator.Publication) error {
	fail := func(status int, message string) error {
		return &Error{Err: errors.New(message), Op: cmd.CommandPath(), Status: status}
	}
	switch publication.Outcome {
	case sheet.OutcomeAccepted, sheet.OutcomeDryRun:
		return nil
	case sheet.OutcomeConflict:
		return fail(exitConflict, fmt.Sprintf("conflict: version %d is in force, nothing was changed", publication.Version))
	case sheet.OutcomeInvalid:
		return fail(exitUsage, "the sheet is invalid, nothing was changed")
	case sheet.OutcomeStored:
		return fail(exitUnconfirmed, fmt.Sprintf("version %d took effect, but a majority of the instances has not confirmed it yet", publication.Version))
	case sheet.OutcomeUnsafe:
		return fail(exitUsage, "the change is unsafe, nothing was changed; --force accepts it")
	default:
		return fail(exitUnknown, "it is unknown whether the change took effect; check 'nutmegpier sheet history'")
	}
}

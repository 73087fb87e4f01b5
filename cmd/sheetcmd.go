package cmd

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/sheet"
)

func newSheetCmd(options *globalOptions) *cobra.Command {
	return newGroupCmd("sheet", "Check, compare, publish and show sheets",
		newSheetCheckCmd(options),
		newSheetDiffCmd(options),
		newSheetHistoryCmd(options),
		newSheetPublishCmd(options),
		newSheetShowCmd(options),
	)
}

func newSheetCheckCmd(options *globalOptions) *cobra.Command {
	return &cobra.Command{
		Args:    exactArgs("FILE"),
		Example: "  nutmegpier sheet check sheet.hujson",
		Long:    "Check reads a sheet and reports all its problems, each with line and column. It calls no\ninstance. The exit status is 2 if there are any problems.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runSheetCheck(cmd, options, args[0])
		},
		Short: "Check a sheet file",
		Use:   "check FILE",
	}
}

func newSheetDiffCmd(options *globalOptions) *cobra.Command {
	return &cobra.Command{
		Args: rangeArgs(1, "FILE", "OLDFILE"),
		Example: "  # Changes from the sheet in force to the file:\n  nutmegpier sheet diff sheet.hujson --token-file token\n" +
			"  # Changes from one file to the other:\n  nutmegpier sheet diff sheet.hujson yesterday.hujson",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runSheetDiff(cmd, options, args)
		},
		Short: "Show the changes that a sheet file makes",
		Use:   "diff FILE [OLDFILE]",
	}
}

func newSheetHistoryCmd(options *globalOptions) *cobra.Command {
	limit := 0
	history := &cobra.Command{
		Args:    exactArgs(),
		Example: "  nutmegpier sheet history --limit 10 --token-file token",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runSheetHistory(cmd, options, limit)
		},
		Short: "List published sheets, newest first",
		Use:   "history",
	}
	history.Flags().IntVar(&limit, "limit", 20, "maximum number of sheets")
	return history
}

func newSheetPublishCmd(options *globalOptions) *cobra.Command {
	var request sheet.PublishRequest
	var base uint64
	publish := &cobra.Command{
		Args: exactArgs("FILE"),
		Example: "  nutmegpier sheet show --token-file token      # prints the version in force\n" +
			"  nutmegpier sheet publish sheet.hujson --base 41 --dry-run --token-file token\n" +
			"  nutmegpier sheet publish sheet.hujson --base 41 --comment \"more for die-room\" --token-file token",
		Long: "Publish makes the sheet the next version after --base, the version that you edited. If another\n" +
			"sheet was published since, the exit status is 3 and nothing is changed. The exit status is 4\nif it is unknown whether the sheet took effect. Unsafe sheets need --force.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("base") {
				return usageError(cmd, errors.New("--base is missing"))
			}
			request.Base = fleet.SheetVersion(base)
			return runSheetPublish(cmd, options, args[0], request)
		},
		Short: "Publish a sheet file",
		Use:   "publish FILE --base VERSION",
	}
	publish.Flags().Uint64Var(&base, "base", 0, "version that you edited; 0 for the first sheet")
	publish.Flags().StringVar(&request.Comment, "comment", "", "comment for the history")
	publish.Flags().BoolVar(&request.DryRun, "dry-run", false, "report what would change without publishing")
	publish.Flags().BoolVar(&request.Force, "force", false, "accept unsafe changes")
	return publish
}

func newSheetShowCmd(options *globalOptions) *cobra.Command {
	return &cobra.Command{
		Args:    rangeArgs(0, "VERSION"),
		Example: "  nutmegpier sheet show --token-file token > sheet.hujson\n  nutmegpier sheet show 41 --token-file token",
		Long:    "Show prints a sheet version, by default the one in force. The version number goes to standard error.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runSheetShow(cmd, options, args)
		},
		Short: "Print a sheet",
		Use:   "show [VERSION]",
	}
}

func runSheetCheck(cmd *cobra.Command, options *globalOptions, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return inputError(cmd, err)
	}
	report := checkReport{File: file}
	var invalid *sheet.Error
	if _, err := sheet.Parse(file, content); errors.As(err, &invalid) {
		report.Problems = invalid.Problems
	}
	return options.printReport(cmd, report)
}

func runSheetDiff(cmd *cobra.Command, options *globalOptions, files []string) error {
	after, err := readSheet(cmd, files[0])
	if err != nil {
		return err
	}
	before, err := diffBase(cmd, options, files[1:])
	if err != nil {
		return err
	}
	changes := sheet.Diff(before, after)
	return options.print(cmd, nonNil(changes), func(out io.Writer) error {
		for _, change := range changes {
			fmt.Fprintln(out, change)
		}
		return nil
	})
}

// diffBase returns the sheet to compare with: that of the file if one is given,
// otherwise the one in force.
func diffBase(cmd *cobra.Command, options *globalOptions, files []string) (sheet.Sheet, error) {
	if len(files) > 0 {
		return readSheet(cmd, files[0])
	}
	client, err := options.client(cmd)
	if err != nil {
		return sheet.Sheet{}, err
	}
	ctx, cancel := options.context(cmd)
	defer cancel()
	current, err := client.Sheet(ctx, 0)
	if err != nil {
		return sheet.Sheet{}, callError(cmd, err)
	}
	if current.Version == 0 {
		return sheet.Sheet{}, nil
	}
	return sheet.Parse("in force", []byte(current.Content))
}

// readSheet reads and parses a sheet file.
func readSheet(cmd *cobra.Command, file string) (sheet.Sheet, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return sheet.Sheet{}, inputError(cmd, err)
	}
	parsed, err := sheet.Parse(file, content)
	if err != nil {
		return sheet.Sheet{}, inputError(cmd, err)
	}
	return parsed, nil
}

func runSheetHistory(cmd *cobra.Command, options *globalOptions, limit int) error {
	client, err := options.client(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := options.context(cmd)
	defer cancel()
	history, err := client.Sheets(ctx, limit)
	if err != nil {
		return callError(cmd, err)
	}
	return options.print(cmd, nonNil(history), func(out io.Writer) error { return renderHistory(out, history) })
}

// renderHistory writes a table of published sheets.
func renderHistory(out io.Writer, history []operator.SheetSummary) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, "VERSION\tPUBLISHED\tPUBLISHER\tCOMMENT")
	for _, entry := range history {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", entry.Version, entry.PublishedAt.Format("2006-01-02 15:04:05Z07:00"), entry.Publisher, cmp.Or(entry.Comment, "-"))
	}
	return w.Flush()
}

func runSheetPublish(cmd *cobra.Command, options *globalOptions, file string, request sheet.PublishRequest) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return inputError(cmd, err)
	}
	if _, err := sheet.Parse(file, content); err != nil {
		return inputError(cmd, err)
	}
	request.Content = string(content)
	client, err := options.client(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := options.context(cmd)
	defer cancel()
	published, err := client.Publish(ctx, request)
	if err != nil {
		return callError(cmd, err)
	}
	return options.printPublication(cmd, published)
}

func runSheetShow(cmd *cobra.Command, options *globalOptions, args []string) error {
	var version uint64
	if len(args) > 0 {
		parsed, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return usageError(cmd, fmt.Errorf("version %q: want a non-negative integer", args[0]))
		}
		version = parsed
	}
	client, err := options.client(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := options.context(cmd)
	defer cancel()
	found, err := client.Sheet(ctx, fleet.SheetVersion(version))
	if err != nil {
		return callError(cmd, err)
	}
	return options.print(cmd, found, func(out io.Writer) error {
		fmt.Fprintf(cmd.ErrOrStderr(), "version %d\n", found.Version)
		_, err := io.WriteString(out, found.Content)
		return err
	})
}

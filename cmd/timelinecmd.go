package cmd

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// timelineOptions holds the flags of "timeline".
type timelineOptions struct {
	archived  bool
	database  string
	event     uint32
	limit     int
	session   string
	workspace string
}

func newTimelineCmd(options *globalOptions) *cobra.Command {
	var flags timelineOptions
	timeline := &cobra.Command{
		Args: exactArgs(),
		Example: "  nutmegpier timeline --admin http://127.0.0.1:6434 --admin http://127.0.0.2:6434 --token-file token\n" +
			"  nutmegpier timeline --database orders --event 403 --token-file token",
		Long: "Timeline prints the recorded events of one or more instances, oldest first and causes before\n" +
			"effects, with one column for each instance. An instance that does not answer is reported on\nstandard error; the command fails only when none answers. docs/events.md lists the events.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runTimeline(cmd, options, flags)
		},
		Short: "Show recorded events of several instances",
		Use:   "timeline",
	}
	timeline.Flags().BoolVar(&flags.archived, "archived", false, "show the snapshots of all instances in the object store, including stopped instances")
	timeline.Flags().StringVar(&flags.database, "database", "", "only events of this database")
	timeline.Flags().Uint32Var(&flags.event, "event", 0, "only events with this number")
	timeline.Flags().IntVar(&flags.limit, "limit", 200, "maximum number of events of each instance, the latest ones; 0 for all")
	timeline.Flags().StringVar(&flags.session, "session", "", "only events of this session")
	timeline.Flags().StringVar(&flags.workspace, "workspace", "", "only events of this workspace")
	return timeline
}

func runTimeline(cmd *cobra.Command, options *globalOptions, flags timelineOptions) error {
	clients, err := options.clients(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := options.context(cmd)
	defer cancel()
	var lists [][]event.Event
	var lastErr error
	for i, client := range clients {
		read := client.Events
		if flags.archived {
			read = client.ArchivedEvents
		}
		events, err := read(ctx, flags.filter())
		if err != nil {
			lastErr = err
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", options.admin[i], err)
			continue
		}
		lists = append(lists, events)
	}
	if len(lists) == 0 {
		return callError(cmd, lastErr)
	}
	merged := event.Merge(lists...)
	return options.print(cmd, nonNil(merged), func(out io.Writer) error {
		_, err := io.WriteString(out, event.Render(merged))
		return err
	})
}

func (t timelineOptions) filter() event.Filter {
	return event.Filter{
		Database:  fleet.GroupID(t.database),
		Limit:     t.limit,
		Number:    event.Number(t.event),
		Session:   t.session,
		Workspace: fleet.WorkspaceID(t.workspace),
	}
}

package measure

import (
	"context"
	"fmt"

	"github.com/nutmegpier/nutmegpier/demo"
	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// mixedLoadFraction is the load of each workspace in mixed load, as a fraction of
	// its rate limit.
	mixedLoadFraction = 0.1
	// statusReadPercent is the percentage of the reads that run statusSQL, if the
	// scenario needs to know which server answers.
	statusReadPercent = 25
	// requestsBeforeSwitch is the number of requests after which a session switches to
	// the next instance.
	requestsBeforeSwitch = 50
	// sessionsPerWorkspace is the number of sessions of a workspace in mixed load.
	sessionsPerWorkspace = 6
	// writePercent is the percentage of the requests that write in mixed load.
	writePercent = 20

	readSQL = "SELECT count(*) FROM measure_marks WHERE id < 100"
	// statusSQL is routed like any read and returns the server that ran it, and its
	// role.
	statusSQL = "SHOW group_status"
)

// addMarksTable adds the table into which the workloads write. It has no primary key, so
// that a write that ran twice shows as two rows.
func addMarksTable(deployment *demo.Deployment) {
	databases := make([]demo.Database, len(deployment.Databases))
	for i, database := range deployment.Databases {
		databases[i] = database
		databases[i].Schema = append(append([]string{}, database.Schema...), "CREATE TABLE measure_marks (id INTEGER, writer TEXT)")
	}
	deployment.Databases = databases
}

// insertSQL returns the statement that writes the row with the given id.
func insertSQL(id int64, writer fleet.WorkspaceID) string {
	return fmt.Sprintf("INSERT INTO measure_marks VALUES (%d, '%s')", id, writer)
}

// servedBy is the server that answered a read, and its role.
type servedBy struct {
	role   string
	server fleet.ServerID
}

// findReadServer runs statusSQL as a read and returns the server that answered it.
func findReadServer(ctx context.Context, s *session, hint string) (servedBy, error) {
	results, err := s.exec(ctx, hint+statusSQL)
	if err != nil {
		return servedBy{}, err
	}
	var by servedBy
	for i, field := range results[0].FieldDescriptions {
		value := string(results[0].Rows[0][i])
		switch field.Name {
		case "role":
			by.role = value
		case "server":
			by.server = fleet.ServerID(value)
		}
	}
	return by, nil
}

// newMixedStream returns a stream of reads and writes of the workspace with the given
// index. Its rate is loadFactor times the rate limit of the workspace. If onStatusRead
// is not nil, some reads determine the server that answers and pass it to onStatusRead.
// The hint is an SQL comment that is put before each read.
func newMixedStream(tb *testbed, index int, loadFactor float64, onStatusRead func(servedBy, request), hint string) *stream {
	key := tb.keys[index]
	st := &stream{rate: loadFactor * tb.limit(key.Workspace).Rate, stats: newStats()}
	for i := range sessionsPerWorkspace {
		database := key.Databases[i%len(key.Databases)]
		st.sessions = append(st.sessions, newSession(tb, key, database, index+i, requestsBeforeSwitch))
	}
	st.send = func(ctx context.Context, s *session, req request) error {
		if req.random.IntN(100) < writePercent {
			_, err := s.exec(ctx, insertSQL(tb.lastID.Add(1), key.Workspace))
			return err
		}
		if onStatusRead == nil || req.random.IntN(100) >= statusReadPercent {
			_, err := s.exec(ctx, hint+readSQL)
			return err
		}
		by, err := findReadServer(ctx, s, hint)
		if err == nil {
			onStatusRead(by, req)
		}
		return err
	}
	return st
}

// newMixedStreams returns a mixed stream for each workspace.
func newMixedStreams(tb *testbed, loadFactor float64, onStatusRead func(servedBy, request), hint string) []*stream {
	var streams []*stream
	for index := range tb.keys {
		streams = append(streams, newMixedStream(tb, index, loadFactor, onStatusRead, hint))
	}
	return streams
}

// mergeStats returns the sum of the statistics of streams that have ended.
func mergeStats(streams []*stream) *stats {
	merged := newStats()
	for _, st := range streams {
		merged.succeeded += st.stats.succeeded
		merged.sent += st.stats.sent
		for code, count := range st.stats.errorsByCode {
			merged.errorsByCode[code] += count
		}
		for outcome, count := range st.stats.errorsByOutcome {
			merged.errorsByOutcome[outcome] += count
		}
		merged.latency.Merge(st.stats.latency)
	}
	return merged
}

package measure

import (
	"context"
	"fmt"

	"github.com/nutmegpier/nutmegpier/demo"
	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// baseLoad is the part of its rate that a workspace sends in mixed load.
	baseLoad = 0.1
	// probePercent is the part of the reads that ask the server for its role.
	probePercent = 25
	// roamRequests is the number of requests after which a session roams.
	roamRequests = 50
	// sessionsPerWorkspace bounds the sessions of a workspace in mixed load.
	sessionsPerWorkspace = 6
	// writePercent is the part of the requests that write in mixed load.
	writePercent = 20

	readSQL = "SELECT count(*) FROM measure_marks WHERE id < 100"
	// probeSQL is routed like any read and reports the server that ran it.
	probeSQL = "SHOW group_status"
)

// marksTable adds the table that the workloads write to. It has no key, so
// that a doubled write shows as two rows.
func marksTable(deployment *demo.Deployment) {
	databases := make([]demo.Database, len(deployment.Databases))
	for i, database := range deployment.Databases {
		databases[i] = database
		databases[i].Schema = append(append([]string{}, database.Schema...), "CREATE TABLE measure_marks (id INTEGER, writer TEXT)")
	}
	deployment.Databases = databases
}

// insertSQL returns the write with an id.
func insertSQL(id int64, writer fleet.WorkspaceID) string {
	return fmt.Sprintf("INSERT INTO measure_marks VALUES (%d, '%s')", id, writer)
}

// answeredBy names the server that answered a probe, and its role.
type answeredBy struct {
	role   string
	server fleet.ServerID
}

// probe runs a read and returns the server that served it.
func probe(ctx context.Context, s *session, hint string) (answeredBy, error) {
	results, err := s.exec(ctx, hint+probeSQL)
	if err != nil {
		return answeredBy{}, err
	}
	var by answeredBy
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

// mixedLane returns a lane of reads and writes of one workspace.
func mixedLane(w *world, number int, load float64, probed func(answeredBy, arrival), hint string) *lane {
	key := w.keys[number]
	l := &lane{rate: load * w.limit(key.Workspace).Rate, tally: newTally()}
	for i := range sessionsPerWorkspace {
		database := key.Databases[i%len(key.Databases)]
		l.sessions = append(l.sessions, newSession(w, key, database, number+i, roamRequests))
	}
	l.work = func(ctx context.Context, s *session, at arrival) error {
		if at.random.IntN(100) < writePercent {
			_, err := s.exec(ctx, insertSQL(w.lastID.Add(1), key.Workspace))
			return err
		}
		if probed == nil || at.random.IntN(100) >= probePercent {
			_, err := s.exec(ctx, hint+readSQL)
			return err
		}
		by, err := probe(ctx, s, hint)
		if err == nil {
			probed(by, at)
		}
		return err
	}
	return l
}

// mixedLanes returns a lane for each workspace.
func mixedLanes(w *world, load float64, probed func(answeredBy, arrival), hint string) []*lane {
	var lanes []*lane
	for number := range w.keys {
		lanes = append(lanes, mixedLane(w, number, load, probed, hint))
	}
	return lanes
}

// total adds up the tallies of lanes.
func total(lanes []*lane) *tally {
	sum := newTally()
	for _, l := range lanes {
		sum.done += l.tally.done
		sum.sent += l.tally.sent
		for code, count := range l.tally.codes {
			sum.codes[code] += count
		}
		for outcome, count := range l.tally.outcomes {
			sum.outcomes[outcome] += count
		}
		sum.latency.Merge(l.tally.latency)
	}
	return sum
}

// Package demo runs a complete deployment in one process: stand-ins for the
// platform and for the database groups, the instances, and a published sheet.
package demo

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Deployment describes a sample deployment that the demo can run.
type Deployment struct {
	// Connections is the connection budget of each database over all instances. It
	// is divided among the servers of the database.
	Connections int
	DataCentres []fleet.DataCentre
	Databases   []Database
	Name        string
	Workspaces  []Workspace
}

// Database is a database with its sample tables.
type Database struct {
	Group fleet.GroupID
	// Schema holds the statements that create and fill the sample tables.
	Schema []string
}

// Workspace is a workspace with its rate limit.
type Workspace struct {
	Burst     float64
	Databases []fleet.GroupID
	// Rate is the limit in requests per second.
	Rate      float64
	Weight    int
	Workspace fleet.WorkspaceID
}

const (
	serversPerGroup = 3
	slotsPerServer  = 3
)

// Simulated delays of the stand-in servers.
const (
	applyLag     = 20 * time.Millisecond
	connectDelay = 10 * time.Millisecond
	receiveDelay = time.Millisecond
)

// Deployments returns the deployments that the demo can run.
func Deployments() []Deployment {
	return []Deployment{quetzal(), brightbrew()}
}

func quetzal() Deployment {
	schema := []string{
		"CREATE TABLE die_runs (id INTEGER PRIMARY KEY, press TEXT NOT NULL, sheets INTEGER NOT NULL)",
		"CREATE TABLE card_stock (card TEXT PRIMARY KEY, sheets INTEGER NOT NULL)",
		"CREATE TABLE tab_sets (tab_set TEXT PRIMARY KEY, on_shelf INTEGER NOT NULL)",
		"CREATE TABLE batch_logs (id INTEGER PRIMARY KEY, press TEXT NOT NULL, cut INTEGER NOT NULL)",
		"INSERT INTO card_stock VALUES ('blue 160 g', 40000), ('ivory 200 g', 25000)",
		"INSERT INTO tab_sets VALUES ('A-Z', 1200), ('1-31', 640), ('months', 300)",
	}
	databases := []fleet.GroupID{"quetzal_orders", "quetzal_stock", "quetzal_press"}
	return Deployment{
		Connections: 20,
		DataCentres: []fleet.DataCentre{"gt-1", "gt-2", "gt-3", "gt-4"},
		Databases:   withSchema(databases, schema),
		Name:        "Quetzal",
		Workspaces: workspaces(databases, "die_room", "wholesale", "school_supply", "press_one",
			"press_two", "card_store", "invoices", "web_shop"),
	}
}

func brightbrew() Deployment {
	schema := []string{
		"CREATE TABLE drops (id INTEGER PRIMARY KEY, customer TEXT NOT NULL, crates INTEGER NOT NULL)",
		"CREATE TABLE routes (route TEXT NOT NULL, stop INTEGER NOT NULL, customer TEXT NOT NULL, PRIMARY KEY (route, stop))",
		"CREATE TABLE crates (crate INTEGER PRIMARY KEY, left_cold_room INTEGER NOT NULL)",
		"INSERT INTO routes VALUES ('north', 1, 'rivera'), ('north', 2, 'okafor'), ('south', 1, 'lindqvist')",
		"INSERT INTO crates VALUES (1, 0), (2, 0), (3, 1)",
	}
	databases := []fleet.GroupID{"brightbrew_drops", "brightbrew_routes", "brightbrew_crates"}
	return Deployment{
		Connections: 40,
		DataCentres: []fleet.DataCentre{"uk-1", "uk-2", "uk-3"},
		Databases:   withSchema(databases, schema),
		Name:        "Brightbrew",
		Workspaces: workspaces(databases, "bookings", "riders", "brewhouse", "cold_room",
			"billing", "support", "planning", "reports"),
	}
}

func withSchema(groups []fleet.GroupID, schema []string) []Database {
	var databases []Database
	for _, group := range groups {
		databases = append(databases, Database{Group: group, Schema: schema})
	}
	return databases
}

// workspaces returns one workspace for each id. The first two get a higher rate,
// burst and weight than the others.
func workspaces(databases []fleet.GroupID, ids ...fleet.WorkspaceID) []Workspace {
	const largeWorkspaces = 2
	var list []Workspace
	for index, id := range ids {
		workspace := Workspace{Burst: 100, Databases: databases, Rate: 200, Weight: 1, Workspace: id}
		if index < largeWorkspaces {
			workspace.Burst = 400
			workspace.Rate = 800
			workspace.Weight = 4
		}
		list = append(list, workspace)
	}
	return list
}

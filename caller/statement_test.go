package caller_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/caller"
)

// TestClassifyAccess guards against sending writes to a replica, also if they are
// hidden behind comments, strings or other statements.
func TestClassifyAccess(t *testing.T) {
	for sql, want := range map[string]caller.Access{
		"":                                     caller.AccessRead,
		" ; -- nothing\n":                      caller.AccessRead,
		"(select 1) union (select 2)":          caller.AccessRead,
		"((insert into t values (1)))":         caller.AccessWrite,
		"/* a /* nested */ select */ delete t": caller.AccessWrite,
		"/* unterminated select":               caller.AccessRead,
		"BEGIN":                                caller.AccessWrite,
		"begin isolation level serializable, read only":         caller.AccessRead,
		"begin read only, read write":                           caller.AccessWrite,
		"explain analyze delete from t":                         caller.AccessWrite,
		"select 'it''s; delete' from t":                         caller.AccessRead,
		"select $$ ; delete $$, $1, $a$ $$ update $a$":          caller.AccessRead,
		"select $1; delete from t":                              caller.AccessWrite,
		"select * from t for no key update":                     caller.AccessWrite,
		"select * from t for share":                             caller.AccessWrite,
		"select * into u from t":                                caller.AccessWrite,
		"select 1 /* ; delete from t */":                        caller.AccessRead,
		"select 1; insert into t values (1)":                    caller.AccessWrite,
		"select E'\\'; delete from t' from t":                   caller.AccessRead,
		"select E'\\\\'; delete from t":                         caller.AccessWrite,
		"select '\\'; delete from t":                            caller.AccessWrite,
		"select NEXTVAL('s')":                                   caller.AccessWrite,
		"select \"delete\" from t":                              caller.AccessRead,
		"select pg_catalog.set_config('a', 'b', false)":         caller.AccessWrite,
		"show server_version":                                   caller.AccessRead,
		"start transaction read only":                           caller.AccessRead,
		"table t":                                               caller.AccessRead,
		"truncate t":                                            caller.AccessWrite,
		"values (1)":                                            caller.AccessRead,
		"with a as (delete from t returning *) select * from a": caller.AccessWrite,
		"with a as (select 1) select * from a":                  caller.AccessRead,
	} {
		class := caller.Classify(sql)
		if diff := cmp.Diff(want, class.Access()); diff != "" {
			t.Errorf("access of %q (-want +got):\n%s", sql, diff)
		}
	}
}

// TestClassifySession guards against overlooking changes of session state, which
// would then leak into other sessions or be lost.
func TestClassifySession(t *testing.T) {
	read, write := caller.AccessRead, caller.AccessWrite
	for _, want := range []caller.Statement{
		{Access: read, Name: "a", Text: "deallocate prepare \"a\"", Verb: caller.VerbDeallocate},
		{Access: read, Name: "all", Text: "RESET ALL", Verb: caller.VerbReset},
		{Access: read, Name: "nutmegpier.max_age", Text: "set nutmegpier.max_age = '500ms'", Value: "500ms", Verb: caller.VerbSet},
		{Access: read, Name: "search_path", Text: "SET SESSION search_path TO a, b", Value: "a, b", Verb: caller.VerbSet},
		{Access: read, Name: "timezone", Text: "set time zone 'UTC'", Verb: caller.VerbSet},
		{Access: write, Pins: true, Text: "create temp table x (a int)", Verb: caller.VerbOther},
		{Access: write, Pins: true, Text: "declare c cursor with hold for select 1", Verb: caller.VerbOther},
		{Access: write, Pins: true, Text: "prepare a as select 1", Verb: caller.VerbOther},
		{Access: write, Pins: true, Text: "select pg_advisory_lock(1)", Verb: caller.VerbOther},
		{Access: write, Text: "commit prepared 'a'", Verb: caller.VerbOther},
		{Access: write, Text: "create table x (a int)", Verb: caller.VerbOther},
		{Access: write, Text: "declare c cursor without hold for select 1", Verb: caller.VerbOther},
		{Access: write, Text: "rollback to a", Verb: caller.VerbRollbackTo},
		{Access: write, Text: "set local a = 1", Verb: caller.VerbOther},
	} {
		if want.Text == "set local a = 1" {
			want.Access = read
		}
		class := caller.Classify(" " + want.Text + " ; ")
		want.Text = strings.TrimSpace(class.First.Text)
		class.First.Text = want.Text
		if diff := cmp.Diff(want, class.First); diff != "" {
			t.Errorf("statement %q (-want +got):\n%s", want.Text, diff)
		}
	}
	for _, sql := range []string{"listen a", "set role a", "set session authorization a", "reset session authorization", "set standard_conforming_strings = off"} {
		if class := caller.Classify("select 1; " + sql); class.RefusalReason() == "" {
			t.Errorf("RefusalReason of %q is empty, want a reason", sql)
		}
	}
}

// TestClassifyHints guards against ignoring hints, and against reading hints from
// strings.
func TestClassifyHints(t *testing.T) {
	for sql, want := range map[string]caller.Hints{
		"/* nutmegpier: max_age=500ms, idempotent */ select 1": {Idempotent: true, MaxAge: 500 * time.Millisecond},
		"select 1 -- nutmegpier: primary":                      {Primary: true},
		"select '/* nutmegpier: primary */'":                   {},
		"/* nutmegpier: max_age=-1s */ select 1":               {},
	} {
		if diff := cmp.Diff(want, caller.Classify(sql).Hints); diff != "" {
			t.Errorf("hints of %q (-want +got):\n%s", sql, diff)
		}
	}
}

// FuzzClassify guards against SQL texts on which the tokenizer panics or doesn't
// terminate, and against results that differ between runs.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{"select 1", "select $a$ $a", "E'\\", "\"", "/*/*", "begin;commit", "set a.b = 'c'", "(((", "$1$", "declare \xff"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		class := caller.Classify(sql)
		again := caller.Classify(sql)
		if diff := cmp.Diff(class, again); diff != "" {
			t.Errorf("second run differs (-want +got):\n%s", diff)
		}
	})
}

// FuzzParseStartup guards against startup messages that crash the server.
func FuzzParseStartup(f *testing.F) {
	for _, seed := range []string{"", "\x00\x03\x00\x00", "\x00\x03\x00\x00user\x00a\x00\x00", "\x04\xd2\x16\x2e12345678", "\x00\x03\x00\x00user"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		if startup, err := caller.ParseStartup(body); err == nil {
			startup.Get("user")
		}
	})
}

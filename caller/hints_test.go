package caller_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/caller"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/route"
)

func TestHints(t *testing.T) {
	tests := []struct {
		sql        string
		class      route.Class
		stale      time.Duration
		idempotent bool
		fails      bool
	}{
		{sql: "SELECT 1", class: route.ClassWrite},
		{sql: "/*class='read'*/ SELECT 1", class: route.ClassRead, idempotent: true},
		{sql: "SELECT 1 /*class='read',max_staleness='10s'*/;", class: route.ClassRead, stale: 10 * time.Second, idempotent: true},
		{sql: "/*max_staleness='2s'*/ SELECT 1", class: route.ClassRead, stale: 2 * time.Second, idempotent: true},
		{sql: "UPDATE kv SET value = 'x' WHERE key = 'y' /*idempotent='true'*/", class: route.ClassWrite, idempotent: true},
		{sql: "SELECT '/*class=''read''*/' FROM t", class: route.ClassWrite},
		{sql: "/*class='both'*/ SELECT 1", fails: true},
		{sql: "/*max_staleness='soon'*/ SELECT 1", fails: true},
		{sql: "/*route='%2Fhome',class='read'*/ SELECT 1", class: route.ClassRead, idempotent: true},
	}
	for _, test := range tests {
		got, err := caller.DefaultHints(contract.Reads{}).WithComments(test.sql)
		if (err != nil) != test.fails {
			t.Errorf("%s: error %v", test.sql, err)
			continue
		}
		if !test.fails && (got.Class() != test.class || got.MaxStaleness() != test.stale || got.Idempotent() != test.idempotent) {
			t.Errorf("%s: %+v", test.sql, got)
		}
	}
}

// FuzzHints checks that invalid hints do not make a request idempotent.
func FuzzHints(f *testing.F) {
	f.Add("/*class='read',max_staleness='10s'*/ SELECT 1")
	f.Add("SELECT 1 /*a=*/ /*")
	f.Fuzz(func(t *testing.T, sql string) {
		base := caller.DefaultHints(contract.Reads{})
		if got, err := base.WithComments(sql); err != nil && got.Idempotent() && !base.Idempotent() {
			t.Fatalf("%q was refused, but its hints are idempotent", sql)
		}
	})
}

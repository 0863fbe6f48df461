package evacuation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/evacuation"
)

// A domain is emptied as long as one record names it, whichever key that has.
func TestDomainIsEmptiedWhileOneRecordNamesIt(t *testing.T) {
	var s evacuation.Set
	now := time.Now()
	emptied := func(domain string) []evacuation.Change {
		return []evacuation.Change{{Domain: domain, Emptied: true}}
	}
	takenBack := func(domain string) []evacuation.Change { return []evacuation.Change{{Domain: domain}} }
	require.Equal(t, emptied("a"), s.Put("x", evacuation.Record{Domain: "a"}, now))
	require.Empty(t, s.Put("x", evacuation.Record{Domain: "a"}, now.Add(time.Second)))
	require.Empty(t, s.Put("y", evacuation.Record{Domain: "a"}, now.Add(time.Second)))
	require.Equal(t, []evacuation.Evacuation{{Domain: "a", Since: now}}, s.List())
	require.Empty(t, s.Delete("x"))
	require.Empty(t, s.Delete("unknown"))
	require.Equal(t, append(takenBack("a"), emptied("b")...), s.Put("y", evacuation.Record{Domain: "b"}, now))
	require.Equal(t, emptied("c"), s.Put("z", evacuation.Record{Domain: "c"}, now))
	require.Equal(t, takenBack("b"), s.Retain(map[string]bool{"z": true, "new": true}))
	require.Equal(t, takenBack("c"), s.Retain(nil))
	require.Empty(t, s.List())
}

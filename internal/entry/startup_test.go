package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/warmup"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// Only services with a start-up rate have endpoints that count as cold.
func TestStartupsOfConfiguration(t *testing.T) {
	i := &Instance{StartupOver: 1.5, StartupSlack: 5}
	require.Equal(t, map[string]placement.Startup{
		"model": {Limit: warmup.Limit{Rate: 12, Over: 1.5, Slack: 5}, Time: 2500 * time.Millisecond},
	}, i.startups(arrangement.Config{Services: []arrangement.Service{
		{Name: "model", StartupRate: 12, StartupSeconds: 2.5}, {Name: "portal", StartupSeconds: 2.5}, {Name: "other"},
	}}))
}

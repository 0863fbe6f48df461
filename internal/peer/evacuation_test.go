package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// The home of an endpoint has read that its failure domain is emptied before another instance has:
// it grants nothing there and says why, until that instance must have read it, too.
func TestHomeTellsOfEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requester, home := newPair(t)
		r := fleet.Reservation{Endpoint: "i-1", Tokens: 100, MaxWait: time.Hour}
		domain := home.Balancer.Endpoints()[0].Domain
		home.Balancer.SetEvacuated(domain, true, time.Now())
		require.True(t, takesRequests(requester.Balancer))
		require.Equal(t, fleet.GrantRefused, requester.Reserve(t.Context(), r))
		require.False(t, takesRequests(requester.Balancer))
		time.Sleep(time.Second)
		require.True(t, takesRequests(requester.Balancer))
		home.Balancer.SetEvacuated(domain, false, time.Now())
		require.Equal(t, fleet.GrantAccepted, requester.Reserve(t.Context(), r))
		require.True(t, takesRequests(requester.Balancer))
	})
}

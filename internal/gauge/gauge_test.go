package gauge_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/gauge"
)

func TestWriteText(t *testing.T) {
	s := &gauge.Set{Gauges: func() map[string]float64 { return map[string]float64{"peers": 3} }}
	s.Count(gauge.Name("requests_total", "status", "503", "reason", "queue-full"))
	s.Count(gauge.Name("requests_total", "status", "503", "reason", "queue-full"))
	s.Time("first_milliseconds", 40*time.Millisecond)
	var b bytes.Buffer
	s.Write(&b)
	require.Equal(t, `greengagestep_requests_total{status="503",reason="queue-full"} 2
greengagestep_first_milliseconds{quantile="0.5"} 40
greengagestep_first_milliseconds{quantile="0.9"} 40
greengagestep_first_milliseconds{quantile="0.95"} 40
greengagestep_first_milliseconds{quantile="0.99"} 40
greengagestep_first_milliseconds_count 1
greengagestep_peers 3
`, b.String())
}

package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/overload"
)

// Load: 200 requests a second on a processor that can serve a part of them; a fifth are late already, a tenth are
// long streams that cost as much as six others. What is refused of the work is what the lag asks for.
func TestRefusedAreLateOnesThenDearOnes(t *testing.T) {
	kinds := map[string]overload.Demand{"cheap": {Cost: 1}, "dear": {Cost: 6}, "late": {Cost: 2, Late: true}}
	for _, c := range []struct {
		fraction float64
		refused  map[string]float64 // fraction of each kind
	}{
		// Of the work, the cheap are 0.41, the dear 0.35 and the late 0.24.
		{0, map[string]float64{"cheap": 0, "dear": 0, "late": 0}},
		{0.12, map[string]float64{"cheap": 0, "dear": 0, "late": 0.5}},
		{0.5, map[string]float64{"cheap": 0, "dear": 0.75, "late": 1}},
		{0.8, map[string]float64{"cheap": 0.5, "dear": 1, "late": 1}},
		{1, map[string]float64{"cheap": 1, "dear": 1, "late": 1}},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		s := &overload.Shedder{}
		asked, refused := map[string]float64{}, map[string]float64{}
		for i := range 4000 {
			kind := "cheap"
			switch x := rng.Float64(); {
			case x < 0.2:
				kind = "late"
			case x < 0.3:
				kind = "dear"
			}
			asked[kind]++
			if s.Refuse(kinds[kind], c.fraction, rng.Float64(), time.Unix(0, int64(i)*int64(5*time.Millisecond))) {
				refused[kind]++
			}
		}
		for kind, want := range c.refused {
			require.InDelta(t, want, refused[kind]/asked[kind], 0.15, "%s at %v", kind, c.fraction)
		}
		arrived, count := s.Counts()
		require.EqualValues(t, 4000, arrived)
		require.EqualValues(t, refused["cheap"]+refused["dear"]+refused["late"], count)
	}
}

// Load: as above, and a customer that lacks sends dear requests, half of them late. They are refused after those of
// the others, the late ones first: beside a processor that is far behind, all that are answered would be late otherwise. Those
// of one that lacks more come last.
func TestCustomersThatLackAreRefusedLast(t *testing.T) {
	for _, c := range []struct{ fraction, others, late, inTime, least float64 }{
		{0.4, 0.88, 0, 0, 0}, {0.545, 1, 0.5, 0, 0}, {0.727, 1, 1, 0.5, 0}, {0.91, 1, 1, 1, 0.5},
	} {
		kinds := []overload.Demand{
			{Customer: "a", Cost: 1, Satisfaction: 1},
			{Customer: "b", Cost: 6, Late: true, Satisfaction: 0.6},
			{Customer: "b", Cost: 6, Satisfaction: 0.6},
			{Customer: "c", Cost: 3, Late: true, Satisfaction: 0.3},
		}
		rng := rand.New(rand.NewPCG(1, 2))
		s := &overload.Shedder{}
		var asked, refused [4]float64
		for i := range 15_000 {
			// Of the work, they are 0.455 and 0.182 each.
			kind := []int{0, 0, 0, 1, 0, 0, 3, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 3}[i%19]
			asked[kind]++
			if s.Refuse(kinds[kind], c.fraction, rng.Float64(), time.Unix(0, int64(i)*int64(5*time.Millisecond))) {
				refused[kind]++
			}
		}
		for kind, want := range []float64{c.others, c.late, c.inTime, c.least} {
			require.InDelta(t, want, refused[kind]/asked[kind], 0.15, "%d at %v", kind, c.fraction)
		}
	}
}

// Load: nearly all requests are of one customer, who gets what it is due at one moment and lacks at the next, as its usage
// becomes known. What is refused of the work stays what the lag asks for: too little of it lets the instance fall seconds behind.
func TestFractionHoldsWhenACustomerBeginsToLack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := &overload.Shedder{}
	refused := 0
	const window = 100
	for i := range 3000 {
		d := overload.Demand{Customer: "large", Cost: 2, Satisfaction: 1}
		if i/250%2 == 1 {
			d.Satisfaction = 0.3
		}
		if i%20 == 0 {
			d = overload.Demand{Customer: "small", Cost: 2, Satisfaction: 0.9}
		}
		if s.Refuse(d, 0.6, rng.Float64(), time.Unix(0, int64(i)*int64(2*time.Millisecond))) {
			refused++
		}
		if i%window == window-1 {
			require.InDelta(t, 0.6*window, refused, 20, "requests up to %d", i)
			refused = 0
		}
	}
}

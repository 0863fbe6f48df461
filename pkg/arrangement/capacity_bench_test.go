package arrangement_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// BenchmarkCapacityText gives the time to read and check a text and its size, as the
// customers grow:
//
//	go test -run '^$' -bench CapacityText ./pkg/arrangement
func BenchmarkCapacityText(b *testing.B) {
	for _, customers := range []int{15, 260, 2600} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			var t strings.Builder
			t.WriteString("services:\n")
			for i := range 34 {
				fmt.Fprintf(&t, "  - name: service-%d\n    model: m\n", i)
			}
			t.WriteString("models:\n  - name: m\n    version: \"1\"\ncustomers:\n")
			for i := range customers {
				fmt.Fprintf(&t, "  - name: customer-%d\n    keys: [key-of-customer-%d]\n", i, i)
			}
			data := []byte(t.String())
			for b.Loop() {
				if _, err := arrangement.Parse(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

package arrangement_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// BenchmarkCapacityText measures the time to parse and check a configuration text, and
// the size of the text, for growing numbers of customers:
//
//	go test -run '^$' -bench CapacityText ./pkg/arrangement
func BenchmarkCapacityText(b *testing.B) {
	for _, customers := range []int{15, 260, 2600} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			var text strings.Builder
			text.WriteString("services:\n")
			for i := range 34 {
				fmt.Fprintf(&text, "  - name: service-%d\n    model: m\n", i)
			}
			text.WriteString("models:\n  - name: m\n    version: \"1\"\ncustomers:\n")
			for i := range customers {
				fmt.Fprintf(&text, "  - name: customer-%d\n    keys: [key-of-customer-%d]\n", i, i)
			}
			data := []byte(text.String())
			for b.Loop() {
				if _, err := arrangement.Parse(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

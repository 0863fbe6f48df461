// Command check reads a configuration text from standard input and lists its faults.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

func main() {
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	text, err := arrangement.Parse(data)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for _, s := range text.Services {
		fmt.Println(s.Name, "at", s.Path, "needs", s.Needs)
	}
}

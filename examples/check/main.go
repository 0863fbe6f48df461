// Command check validates a configuration text from standard input. It lists the services
// of a valid text, or the faults of an invalid one.
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
	config, err := arrangement.Parse(data)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for _, s := range config.Services {
		fmt.Println(s.Name, "at", s.Path, "needs", s.Needs)
	}
}

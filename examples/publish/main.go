// Command publish publishes a configuration text and prints where it is in force.
//
//	go run ./examples/publish 127.0.0.1:7002 text.yaml 3
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/greengagestep/greengagestep/pkg/operator"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: publish ADDRESS FILE VERSION")
		os.Exit(2)
	}
	if err := publish(os.Args[1], os.Args[2], os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func publish(address, file, version string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	edits, err := strconv.ParseInt(version, 10, 64)
	if err != nil {
		return err
	}
	c := &operator.Client{Address: address, Secret: os.Getenv("GREENGAGESTEP_SECRET")}
	p, err := c.Publish(context.Background(), operator.Proposal{Actor: "example", BaseVersion: edits, Text: string(text)})
	if err != nil {
		return err
	}
	for _, in := range p.Instances {
		fmt.Println("version", p.Version, "at", in.Instance, "after", in.Millis, "ms")
	}
	return nil
}

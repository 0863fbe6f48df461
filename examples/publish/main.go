// Command publish publishes a configuration text and prints for each instance the time until
// the instance reported the new version as in force; 0 ms means that it has not. The last
// argument is the version that the text is based on.
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
		fmt.Fprintln(os.Stderr, "usage: publish ADDRESS FILE BASE_VERSION")
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
	baseVersion, err := strconv.ParseInt(version, 10, 64)
	if err != nil {
		return err
	}
	c := &operator.Client{Address: address, Secret: os.Getenv("GREENGAGESTEP_SECRET")}
	result, err := c.Publish(context.Background(), operator.Proposal{Actor: "example", BaseVersion: baseVersion, Text: string(text)})
	if err != nil {
		return err
	}
	for _, instance := range result.Instances {
		fmt.Println("version", result.Version, "at", instance.Instance, "after", instance.Millis, "ms")
	}
	return nil
}

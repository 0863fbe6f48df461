// Command watch prints, once a second, how much more weighted service each customer has
// received than the waiting customer with the least.
//
//	go run ./examples/watch 127.0.0.1:7002
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/greengagestep/greengagestep/pkg/operator"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: watch ADDRESS")
		os.Exit(2)
	}
	c := &operator.Client{Address: os.Args[1], Secret: os.Getenv("GREENGAGESTEP_SECRET")}
	for {
		status, err := c.Status(context.Background())
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		for _, a := range status.CustomerAccounts {
			fmt.Printf("%s %s: lag %.0f, %d waiting, %d running\n", a.Service, a.Customer, a.Lag, a.Waiting, a.Running)
		}
		time.Sleep(time.Second)
	}
}

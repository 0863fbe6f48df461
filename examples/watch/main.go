// Command watch prints every second how far each customer is ahead of the lowest one.
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
		st, err := c.Status(context.Background())
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		for _, a := range st.CustomerAccounts {
			fmt.Printf("%s %s: lag %.0f, %d waiting, %d running\n", a.Service, a.Customer, a.Lag, a.Waiting, a.Running)
		}
		time.Sleep(time.Second)
	}
}

// Command greengagestep runs a router instance, and the commands with which operators
// inspect and configure the fleet.
package main

import (
	"os"

	"github.com/greengagestep/greengagestep/internal/command"
)

func main() { os.Exit(command.Run()) }

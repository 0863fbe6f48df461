// Command greengagestep runs a router instance and the operators' commands.
package main

import (
	"os"

	"github.com/greengagestep/greengagestep/internal/command"
)

func main() { os.Exit(command.Run()) }

// Command bed3 plays the cases of review/ that are scripts: it starts processes of the system before
// stand-ins of the platform's store, the servers, the operator and the clients. It exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) (broken bool, err error){
	"drill":   playDrill,
	"part":    playPart,
	"again":   playAgain,
	"many":    playMany,
	"long":    playLong,
	"foreign": playForeign,
	"ghost":   playGhost,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed3 CASE DATA-DIRECTORY RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*bed, bool) (bool, error), data, record string) int {
	b, err := newBed(data, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	broken, err := run(b, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = b.failure()
	}
	for _, f := range b.fronts {
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			text, _ := os.ReadFile(filepath.Join(b.dir, f.Name+".log"))
			_ = os.WriteFile(filepath.Join(keep, f.Name+".log"), text, 0o600)
		}
	}
	switch {
	case err != nil:
		b.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		b.log("RESULT: broken")
		return 1
	}
	b.log("RESULT: held")
	return 0
}

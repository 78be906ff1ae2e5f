// Command chervilreach serves rarely used models on pooled accelerators.
package main

import (
	"os"

	"chervilreach/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:]))
}

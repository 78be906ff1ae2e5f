package cmds

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

func init() {
	register("version", "print the version", "Prints the version of the module and of Go.", &versionCommand{})
}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("chervilreach (no build information)")
		return nil
	}
	fmt.Println("chervilreach", info.Main.Version, info.GoVersion)
	return nil
}

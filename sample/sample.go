// Package sample embeds example configurations of two deployments, as files of
// records for record.Parse. Both schema versions occur in each.
package sample

import (
	"embed"
	"fmt"
)

//go:embed *.jsonc
var files embed.FS

// The names of the examples.
const (
	Association = "association"
	Karaburun   = "karaburun"
)

// Names returns the names of all examples.
func Names() []string { return []string{Association, Karaburun} }

// Read returns the file name and the text of the example with the given name. It
// returns an error if there is no such example.
func Read(name string) (file string, text []byte, err error) {
	file = name + ".jsonc"
	text, err = files.ReadFile(file)
	if err != nil {
		return "", nil, fmt.Errorf("read example %q: %w", name, err)
	}
	return file, text, nil
}

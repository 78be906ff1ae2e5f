package config

import (
	"slices"
	"strings"
)

// logLevels are the valid log levels, with zerolog's names.
var logLevels = []string{"debug", "info", "warn", "error"}

// Log is the section "log": the process's log.
type Log struct {
	// Level is the lowest level that is logged: one of logLevels.
	Level string `json:"level" default:"info"`
}

// check validates the level.
func (l Log) check(f *fieldErrors) {
	if !slices.Contains(logLevels, l.Level) {
		f.add(ErrBadValue, "log.level", "one of "+strings.Join(logLevels, ", "))
	}
}

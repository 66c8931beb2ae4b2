package cmd

import (
	"os"

	"github.com/charmbracelet/log"
)

// logger returns a logger that writes one key=value line for each event.
func logger() *log.Logger {
	return log.NewWithOptions(os.Stderr, logOptions)
}

// timeFormat includes milliseconds, so that events of several hosts within one
// second can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var logOptions = log.Options{ReportTimestamp: true, TimeFormat: timeFormat, Formatter: log.LogfmtFormatter}

package cmd

import (
	"os"

	"github.com/charmbracelet/log"
)

// logger writes one key=value line for each event.
func logger() *log.Logger {
	return log.NewWithOptions(os.Stderr, logOptions)
}

var logOptions = log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter}

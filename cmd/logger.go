package cmd

import (
	"os"

	"github.com/charmbracelet/log"
)

// logger writes one key=value line for each event.
func logger() *log.Logger {
	return log.NewWithOptions(os.Stderr, logOptions)
}

// timeFormat tells milliseconds: what several hosts decided within a second is
// put in order by them.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var logOptions = log.Options{ReportTimestamp: true, TimeFormat: timeFormat, Formatter: log.LogfmtFormatter}

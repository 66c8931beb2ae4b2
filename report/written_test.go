package report

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "report", new(Report))
}

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"Latency", "Whole", "Wrongful", "fast", "slow",
	}, []string{
		Latency, Complete, WrongfulRefusal, Fast, Slow,
	})
}

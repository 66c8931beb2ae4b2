package cmd

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/difference"
)

// writeResult prints v as JSON with -json, and otherwise calls text to print it
// for people.
func (m *Cmd) writeResult(c *cli.Command, v any, text func()) error {
	if !c.Bool("json") {
		text()
		return nil
	}
	b, err := codec.MarshalIndent(v)
	if err != nil {
		return errors.Wrap(err, "output")
	}
	fmt.Fprintln(m.Out, string(b))
	return nil
}

func (m *Cmd) printf(format string, args ...any) {
	fmt.Fprintf(m.Out, format, args...)
}

// writeTable prints rows in aligned columns. The first row is the heading.
func (m *Cmd) writeTable(rows [][]string) {
	w := tabwriter.NewWriter(m.Out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		for i, s := range r {
			if i > 0 {
				fmt.Fprint(w, "\t") //nolint:errcheck // Flush returns the error
			}
			fmt.Fprint(w, s) //nolint:errcheck // Flush returns the error
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // nothing can be reported if the output is closed
}

func (m *Cmd) writeDifferences(heading string, d []difference.Difference) {
	m.printf("%s\n", heading)
	for _, v := range d {
		m.printf("  %s\n", v)
	}
}

// writePage writes a page to the file at path. An empty path writes nothing.
func writePage(path string, write func(w io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	err = write(f)
	if e := f.Close(); err == nil {
		err = e
	}
	return errors.Wrap(err, "page")
}

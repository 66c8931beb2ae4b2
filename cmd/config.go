package cmd

import (
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/document"
	"celeryreach.example/celeryreach/mistake"
	"celeryreach.example/celeryreach/validate"
)

func (m *Cmd) configCommand() *cli.Command {
	return group("config", "show, check and change the whole configuration",
		m.configShow(), m.configCheck(), m.configDiff(), m.configApply(), m.configInit())
}

// read reads a configuration file and returns all of its mistakes.
func read(path string) (*config.Config, []mistake.Mistake, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "configuration")
	}
	d, err := document.Parse(b)
	if err != nil {
		return nil, nil, &failure{code: exitMistakes, text: err.Error()}
	}
	c := new(config.Config)
	if e := d.Decode(c); len(e) > 0 {
		return nil, e, nil
	}
	return c, d.Locate(validate.Config(completed(c))), nil
}

// completed adds an operator to a first configuration that names none: config
// init issues that key itself.
func completed(c *config.Config) *config.Config {
	if c.Version > 0 || len(c.Operators) > 0 {
		return c
	}
	n := *c
	n.Operators = []credential.Credential{{ID: firstOperator, Hash: credential.Hash("")}}
	return &n
}

// sound reads a configuration file that must have no mistakes.
func (m *Cmd) sound(c *cli.Command, path string) (*config.Config, error) {
	f, e, err := read(path)
	if err != nil || len(e) == 0 {
		return f, err
	}
	return nil, m.mistakes(c, path, e)
}

func (m *Cmd) mistakes(c *cli.Command, path string, e []mistake.Mistake) error {
	err := m.write(c, e, func() {
		for _, v := range e {
			m.printf("%s: %s\n", path, v)
		}
		m.printf("%d mistakes\n", len(e))
	})
	if err != nil {
		return err
	}
	return &failure{code: exitMistakes}
}

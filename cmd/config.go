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
	return commandGroup("config", "show, check and change the whole configuration",
		m.configShow(), m.configCheck(), m.configDiff(), m.configApply(), m.configInit())
}

// readConfig reads a configuration file and returns all mistakes in it.
func readConfig(path string) (*config.Config, []mistake.Mistake, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "configuration")
	}
	d, err := document.Parse(b)
	if err != nil {
		return nil, nil, &exitError{code: exitInvalid, text: err.Error()}
	}
	c := new(config.Config)
	if e := d.Decode(c); len(e) > 0 {
		return nil, e, nil
	}
	return c, d.Locate(validate.Config(withFirstOperator(c))), nil
}

// withFirstOperator adds a placeholder operator to a first configuration without
// operators. Without the placeholder, the configuration would not pass validation,
// although config init issues the first operator's key itself.
func withFirstOperator(c *config.Config) *config.Config {
	if c.Version > 0 || len(c.Operators) > 0 {
		return c
	}
	n := *c
	n.Operators = []credential.Credential{{ID: firstOperatorID, Hash: credential.Hash("")}}
	return &n
}

// readValidConfig reads a configuration file. If the file has mistakes, it prints
// them and returns an error.
func (m *Cmd) readValidConfig(c *cli.Command, path string) (*config.Config, error) {
	f, e, err := readConfig(path)
	if err != nil || len(e) == 0 {
		return f, err
	}
	return nil, m.reportMistakes(c, path, e)
}

// reportMistakes prints the mistakes and returns the error that sets the exit
// code.
func (m *Cmd) reportMistakes(c *cli.Command, path string, e []mistake.Mistake) error {
	err := m.writeResult(c, e, func() {
		for _, v := range e {
			m.printf("%s: %s\n", path, v)
		}
		m.printf("%d mistakes\n", len(e))
	})
	if err != nil {
		return err
	}
	return &exitError{code: exitInvalid}
}

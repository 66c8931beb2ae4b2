// Command celeryreach steers requests from callers toward backend servers.
package main

import (
	"os"

	"celeryreach.example/celeryreach/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}

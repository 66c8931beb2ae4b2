package cmd

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/platformstandin"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the stand-in for the users' platform; it keeps everything in memory and is not for production",
		Description: `Faults are played while it runs, by POST /knobs with a JSON document:
  {"Outage": true}       every call fails without effect
  {"Delay": "500ms"}     every call takes longer
  {"LoseAnswers": 3}     the next commits take effect and break the connection
  {"LoseCommits": 3}     the next commits break the connection without effect
  {"ListLag": "10s"}     the host list stays behind
An empty document ends all of them.`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "listen", Usage: "`ADDRESS`, IP and port", Value: "127.0.0.1:7300"}},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	n, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return err
	}
	h := &platformstandin.Platformstandin{Clock: clockwork.NewRealClock(), Table: new(memorytable.Memorytable)}
	logger().Info("platform stand-in serves", "Address", n.Addr())
	return (&httplisten.Httplisten{Listener: n, Handler: h, DrainTimeout: time.Second}).Run(ctx)
}

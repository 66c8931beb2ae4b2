// Command lab2 plays a scripted case against processes of the program under review. The platform's
// store, the backend servers and the clients are parts of it.
package main

import (
	"fmt"
	"os"
	"runtime"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() {
	runtime.LockOSThread() // hosts end with the thread that started them
	if len(os.Args) != 3 {
		fail("usage: lab2 CASE RECORD")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(record string, trouble bool) int{
		"early":      runEarly,
		"extra":      runExtra,
		"old-report": runOldReport,
		"forged":     runForged,
	}
	f := cases[os.Args[1]]
	if f == nil {
		fail("no case %q", os.Args[1])
	}
	os.Exit(f(os.Args[2], trouble))
}

func fail(format string, a ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", a...)
	os.Exit(exitCannotRun)
}

func cannotRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitCannotRun
}

// verdict returns the exit code for a number of breaks of the rule.
func verdict(broken int64) int {
	if broken > 0 {
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}

package harness

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// Check runs the events of a case and reports whether the rule was broken. Trouble is false
// if the case is to leave out its disruption.
type Check func(d *Deployment, trouble bool) (broken bool, err error)

// Main runs a case: it writes record.txt to the folder of the case, which is the only
// argument, and exits with one of the statuses. TROUBLE=0 in the environment leaves out the
// disruption.
func Main(config Config, groups []GroupConfig, check Check) {
	if len(os.Args) != 2 {
		fmt.Println("want one argument: the folder of the case")
		os.Exit(exitFailed)
	}
	record, err := newRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(exitFailed)
	}
	status := run(record, config, groups, check)
	record.close()
	os.Exit(status)
}

// run runs a case until it ends or a signal arrives, and ends all processes.
func run(record *Record, config Config, groups []GroupConfig, check Check) int {
	type outcome struct {
		broken bool
		err    error
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	d := &Deployment{Record: record}
	defer d.close(os.Getenv("KEEP_LOGS"))
	ended := make(chan outcome, 1)
	go func() {
		if err := d.start(config, groups); err != nil {
			ended <- outcome{err: err}
			return
		}
		broken, err := check(d, os.Getenv("TROUBLE") != "0")
		ended <- outcome{broken: broken, err: err}
	}()
	result := outcome{err: errors.New("it was stopped")}
	select {
	case <-stop:
	case result = <-ended:
		for _, i := range d.Instances {
			if result.err == nil && !i.running() {
				result.err = fmt.Errorf("%s has ended", i.name)
			}
		}
	}
	text, status := "the rule held", exitHeld
	switch {
	case result.err != nil:
		text, status = "the case could not run: "+result.err.Error(), exitFailed
	case result.broken:
		text, status = "the rule was broken", exitBroken
	}
	record.Add("%s", text)
	fmt.Println(text)
	return status
}

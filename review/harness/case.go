package harness

import (
	"fmt"
	"os"
	"path/filepath"
)

// Main runs a case: it writes record.txt to the folder of the case, which is the only
// argument, and exits with the status that check returns. With TROUBLE=0 in the
// environment, trouble is false and the case leaves out its disruption.
func Main(config Config, groups []GroupConfig, check func(d *Deployment, trouble bool) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Println("want one argument: the folder of the case")
		os.Exit(ExitFailed)
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(ExitFailed)
	}
	os.Exit(run(record, config, groups, check))
}

func run(record *Record, config Config, groups []GroupConfig, check func(d *Deployment, trouble bool) (bool, error)) int {
	defer record.Close()
	d := &Deployment{Record: record}
	defer d.Close(os.Getenv("KEEP_LOGS"))
	err := d.Start(config, groups)
	broken := false
	if err == nil {
		broken, err = check(d, os.Getenv("TROUBLE") != "0")
	}
	for _, i := range d.Instances {
		if err == nil && !i.Running() {
			err = fmt.Errorf("%s has ended", i.Name)
		}
	}
	switch {
	case err != nil:
		record.Add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return ExitFailed
	case broken:
		record.Add("the rule was broken")
		fmt.Println("the rule was broken")
		return ExitBroken
	default:
		record.Add("the rule held")
		fmt.Println("the rule held")
		return ExitHeld
	}
}

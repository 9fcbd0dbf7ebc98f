// Command stage plays the cases of the review: a director, started with the command of the deploy file, between small
// stand-ins for its clients, its servers and the control feed. All addresses are on loopback. The exit status is 1 if
// the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

// Exit statuses.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

// play plays a case with or without its disruption and reports whether the rule was broken.
type play func(s *stage, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"slow-backlog":    slowBacklog,
	"feed-down-purge": feedDownPurge,
	"drain-dropped":   drainDropped,
	"drain-cut-off":   drainCutOff,
}

func main() {
	runtime.LockOSThread() // the director ends with the thread that has started it
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the case")
	root := flag.String("root", ".", "the project's root")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	played, ok := cases[*name]
	if !ok {
		fmt.Println("no such case:", *name)
		return notPlayed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := playCase(played, *root, *path, trouble)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return notPlayed
	case broken:
		return ruleBroken
	}
	return ruleHeld
}

// playCase plays a case in a temporary folder.
func playCase(played play, root, path string, trouble bool) (broken bool, err error) {
	rec, err := newRecord(path)
	if err != nil {
		return false, err
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(folder)
	s := &stage{root: root, folder: folder, rec: rec, memoryMB: 192, sockets: 1024}
	defer s.end()
	if err := s.build(); err != nil {
		return false, err
	}
	rec.log("trouble: %v", trouble)
	broken, err = played(s, trouble)
	s.logMemory()
	rec.say("broken: %v, error: %v", broken, err)
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		text, _ := os.ReadFile(folder + "/director.log")
		_ = os.WriteFile(keep, text, 0o600)
	}
	return broken, err
}

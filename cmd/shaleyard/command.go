package main

import (
	"errors"
	"flag"
	"fmt"
	"io"

	"shaleyard/internal/config"
)

const usage = `shaleyard: a director between clients and edge caches

  shaleyard              serve, as EDGE_CONFIG and SHALEYARD_CONFIG tell
  shaleyard check FILE   check an operators' file (deploy/shaleyard.toml) and print what it sets
  shaleyard plan --settings FILE [--config FILE] [--lost SITE,...] [--json]
                         print what is done when whole sites are lost (docs/site-loss.md)
`

// runCommand carries out the words that the program was given; without any it is a director. It returns the exit
// status: 0, or 2 where the words, or what they name, can't be used.
//
// There are two commands, so this is the standard library's flag: a command-line library was tried, and cost each
// director 2 MB of resident memory for what it links in.
func runCommand(args []string, out, errs io.Writer) (status int) {
	if len(args) > 0 && args[0] == "plan" {
		switch err := runPlan(args[1:], out, errs); {
		case errors.Is(err, flag.ErrHelp):
			return 0
		case err != nil:
			fmt.Fprintln(errs, "shaleyard:", err)
			return 2
		}
		return 0
	}
	flags := flag.NewFlagSet("shaleyard", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() { fmt.Fprint(errs, usage) }
	switch err := flags.Parse(args); {
	case err == flag.ErrHelp:
		return 0
	case err != nil:
		return 2
	case flags.NArg() != 2 || flags.Arg(0) != "check":
		flags.Usage()
		return 2
	}
	o, err := config.LoadOperator(flags.Arg(1))
	if err != nil {
		fmt.Fprintln(errs, "shaleyard:", err)
		return 2
	}
	for _, s := range o.Describe() {
		fmt.Fprintln(out, s)
	}
	return 0
}

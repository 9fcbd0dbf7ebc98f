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

// errUsage reports a command line that can't be used, for which the usage has been printed.
var errUsage = errors.New("usage")

// runCommand runs the command that the arguments name, and returns the exit status.
//
// There are two commands, so this is the standard library's flag: a command-line library was tried, and cost each
// director 2 MB of resident memory for what it links in.
func runCommand(args []string, out, errs io.Writer) (status int) {
	var err error
	if len(args) > 0 && args[0] == "plan" {
		err = runPlan(args[1:], out, errs)
	} else {
		err = runCheck(args, out, errs)
	}
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	}
	fmt.Fprintln(errs, "shaleyard:", err)
	return exitUsage
}

// runCheck checks the operators' file that the arguments name and prints what it sets. The arguments begin with the
// word check; options before it are parsed as well, so that --help is one.
func runCheck(args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("shaleyard", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() { fmt.Fprint(errs, usage) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errUsage // the flag set has printed the error
	}
	if flags.NArg() != 2 || flags.Arg(0) != "check" {
		flags.Usage()
		return errUsage
	}
	operatorFile, err := config.LoadOperator(flags.Arg(1))
	if err != nil {
		return err
	}
	for _, line := range operatorFile.Describe() {
		fmt.Fprintln(out, line)
	}
	return nil
}

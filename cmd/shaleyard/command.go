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

// errUsage is returned for an invalid command line after the cause or the usage text has been printed.
var errUsage = errors.New("usage")

// runCommand runs the command that args names and returns the exit status of the process.
//
// The two commands parse their options with the standard library's flag package: the code that a command-line library
// links in costs each director 2 MB of resident memory.
func runCommand(args []string, stdout, stderr io.Writer) (status int) {
	var err error
	if len(args) > 0 && args[0] == "plan" {
		err = runPlan(args[1:], stdout, stderr)
	} else {
		err = runCheck(args, stdout, stderr)
	}
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	}
	fmt.Fprintln(stderr, "shaleyard:", err)
	return exitUsage
}

// runCheck checks the operators' file that args names and prints the settings in it. The first argument that is not an
// option must be the word check. Options before that word are parsed as well, so that `shaleyard --help` works.
func runCheck(args []string, stdout, stderr io.Writer) error {
	flags := flag.NewFlagSet("shaleyard", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { fmt.Fprint(stderr, usage) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errUsage // Parse has already printed the error and the usage
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
		fmt.Fprintln(stdout, line)
	}
	return nil
}

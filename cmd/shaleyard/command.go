package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"shaleyard/internal/config"
)

// commands are what the program does where it is given words; without any it is a director.
type commands struct {
	Check checkCommand `cmd:"" help:"Check an operators' file (deploy/shaleyard.toml) and print what it comes to."`
}

type checkCommand struct {
	File string `arg:"" help:"The file."`
}

// Run checks the file.
func (c *checkCommand) Run(out io.Writer) error {
	o, err := config.LoadOperator(c.File)
	if err != nil {
		return err
	}
	for _, s := range o.Describe() {
		fmt.Fprintln(out, s)
	}
	return nil
}

// command carries out the words and returns the exit status: 0, or 2 where they, or what they name, can't be used.
func command(args []string, out, errs io.Writer) (status int) {
	type exit int
	defer func() {
		if r := recover(); r != nil {
			n, ok := r.(exit)
			if !ok {
				panic(r)
			}
			status = int(n)
		}
	}()
	var c commands
	parser, err := kong.New(&c, kong.Name("shaleyard"), kong.Writers(out, errs), kong.BindTo(out, (*io.Writer)(nil)),
		kong.Description("A director between clients and edge caches. Without a command it serves as EDGE_CONFIG tells."),
		kong.Exit(func(n int) { panic(exit(n)) }))
	if err != nil {
		fmt.Fprintln(errs, "shaleyard:", err)
		return 2
	}
	ctx, err := parser.Parse(args)
	if err == nil {
		err = ctx.Run()
	}
	if err != nil {
		fmt.Fprintln(errs, "shaleyard:", err)
		return 2
	}
	return 0
}

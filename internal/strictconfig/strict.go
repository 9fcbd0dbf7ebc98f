// Package strictconfig reads TOML files of which no key may be ignored: the operators' file and the testbed's
// experiments. Its errors name the file, the line and the key.
package strictconfig

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ErrUnknownKey reports a key that the file may not have.
var ErrUnknownKey = errors.New("no such key")

// Error is a fault of one key of a configuration.
type Error struct {
	File string // "": the reader knows which
	Line int    // from 1; 0: the key stands in none
	Key  string // with dots and indices, such as step[2].do
	Err  error
}

// Error is the place and the fault on one line.
func (e *Error) Error() string {
	if e.File == "" {
		return fmt.Sprintf("%s: %v", e.Key, e.Err)
	}
	return fmt.Sprintf("%s:%d: %s: %v", e.File, e.Line, e.Key, e.Err)
}

// Unwrap returns the fault without its place.
func (e *Error) Unwrap() error { return e.Err }

// Locate adds the place in a file to an Error that has none; other errors are returned as they are.
func Locate(err error, file string, text []byte) error {
	var fault *Error
	if !errors.As(err, &fault) || fault.File != "" {
		return err
	}
	return &Error{File: file, Line: FindLine(text, fault.Key), Key: fault.Key, Err: fault.Err}
}

// Decode reads the text into a value; the name of its file is for errors. An unknown key is an error: a file whose key
// is misspelt must not be taken for one that sets nothing.
func Decode(file string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		first := &unknown.Errors[0]
		row, _ := first.Position()
		return &Error{File: file, Line: row, Key: strings.Join(first.Key(), "."), Err: ErrUnknownKey}
	case errors.As(err, &malformed):
		row, _ := malformed.Position()
		return &Error{File: file, Line: row, Key: strings.Join(malformed.Key(), "."), Err: malformed}
	}
	return fmt.Errorf("%s: %w", file, err)
}

// FindLine finds the line of a key such as clients.zipf, step[2].do or plan.pin[1].share, counted from 1; where the
// file gives the key in a table on one line, that line. 0: the key is in none.
func FindLine(text []byte, key string) int {
	for key != "" {
		if line := findExactLine(text, key); line > 0 {
			return line
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
	return 0
}

// findExactLine finds the line that assigns a key within its own table.
func findExactLine(text []byte, key string) int {
	wanted := parseTableKey(key)
	table, tablesSeen := "", -1
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(line, "[] ")
			if table == wanted.table {
				tablesSeen++
			}
			continue
		}
		name, _, assigns := strings.Cut(line, "=")
		inTable := table == wanted.table && (!wanted.indexed || tablesSeen == wanted.index)
		if assigns && inTable && strings.TrimSpace(name) == wanted.name {
			return i + 1
		}
	}
	return 0
}

// tableKey is a key taken apart: the table, which of several of that name, and the name in it.
type tableKey struct {
	table, name string
	indexed     bool
	index       int
}

func parseTableKey(key string) tableKey {
	table, name := "", key
	if dot := strings.LastIndexByte(key, '.'); dot >= 0 {
		table, name = key[:dot], key[dot+1:]
	}
	table, index, _ := strings.Cut(strings.TrimSuffix(table, "]"), "[")
	parsed := tableKey{table: table, name: name, indexed: index != ""}
	parsed.index, _ = strconv.Atoi(index) // without an index, or with one that is no number: the first
	return parsed
}

// Package strictconfig decodes TOML files in which an unknown key is an error: the operators' file and the testbed's
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

// ErrUnknownKey reports a key that is not defined for the file.
var ErrUnknownKey = errors.New("no such key")

// Error is an error of one key of a configuration.
type Error struct {
	File string // name of the file; empty if not known, see Locate
	Line int    // line number from 1; 0 if no line sets the key
	Key  string // full key with dots and indices, such as step[2].do
	Err  error
}

// Error returns the file, the line, the key and the text of Err on one line. Without a file it omits the line as well.
func (e *Error) Error() string {
	if e.File == "" {
		return fmt.Sprintf("%s: %v", e.Key, e.Err)
	}
	return fmt.Sprintf("%s:%d: %s: %v", e.File, e.Line, e.Key, e.Err)
}

// Unwrap returns Err, the error without file, line and key.
func (e *Error) Unwrap() error { return e.Err }

// Locate adds the name of the file, and the number of the line that sets the key in the text, to an Error that has no
// file yet. The number is 0 if no line sets the key. Errors that wrap the Error are dropped. Locate returns any other
// error unchanged.
func Locate(err error, file string, text []byte) error {
	var keyErr *Error
	if !errors.As(err, &keyErr) || keyErr.File != "" {
		return err
	}
	return &Error{File: file, Line: FindLine(text, keyErr.Key), Key: keyErr.Key, Err: keyErr.Err}
}

// Decode decodes the TOML text into target. The name of the file is used in errors only. An unknown key is an error, as
// a setting with a misspelt key would otherwise be ignored.
func Decode(file string, text []byte, target any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(target)
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

// FindLine returns the number of the line, from 1, that sets a key such as clients.zipf, step[2].do or
// plan.pin[1].share. If the key is in an inline table, that is the line of the table. It returns 0 if no line sets the
// key.
func FindLine(text []byte, key string) int {
	for key != "" {
		if line := findExactLine(text, key); line > 0 {
			return line
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
	return 0
}

// findExactLine returns the number of the line that assigns the key under the header of its own table, or 0.
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

// tableKey is a key split into the name of its table, the index of the table if the table is an element of an array,
// and the name within the table.
type tableKey struct {
	table, name string
	indexed     bool
	index       int
}

// parseTableKey splits a full key such as step[2].do into its parts.
func parseTableKey(key string) tableKey {
	table, name := "", key
	if dot := strings.LastIndexByte(key, '.'); dot >= 0 {
		table, name = key[:dot], key[dot+1:]
	}
	table, index, _ := strings.Cut(strings.TrimSuffix(table, "]"), "[")
	parsed := tableKey{table: table, name: name, indexed: index != ""}
	parsed.index, _ = strconv.Atoi(index) // 0 if there is no index or it is not a number
	return parsed
}

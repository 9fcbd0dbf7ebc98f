// Package strict reads TOML files of which nothing may be passed over: the operators' file and the laboratory's
// experiments. Its errors name the file, the line and the key.
package strictconfig

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads the text into a value; the name of its file is for errors. An unknown key is an error.
func Decode(file string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var unknown *toml.StrictMissingError
	var one *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		row, _ := unknown.Errors[0].Position()
		return fmt.Errorf("%s:%d: %s: no such key", file, row, strings.Join(unknown.Errors[0].Key(), "."))
	case errors.As(err, &one):
		row, _ := one.Position()
		return fmt.Errorf("%s:%d: %s: %w", file, row, strings.Join(one.Key(), "."), one)
	}
	return fmt.Errorf("%s: %w", file, err)
}

// FindLine finds the line of a key such as clients.zipf, step[2].do or plan.pin[1].share; where the file gives the key in
// a table on one line, that line. 0: it stands in none.
func FindLine(text []byte, key string) int {
	for ; key != ""; key = key[:max(0, strings.LastIndexByte(key, '.'))] {
		if n := findExactLine(text, key); n > 0 {
			return n
		}
	}
	return 0
}

func findExactLine(text []byte, key string) int {
	table, name := "", key
	if dot := strings.LastIndexByte(key, '.'); dot >= 0 {
		table, name = key[:dot], key[dot+1:]
	}
	table, index, _ := strings.Cut(strings.TrimSuffix(table, "]"), "[")
	want, in, seen := 0, "", -1
	fmt.Sscan(index, &want)
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			in = strings.Trim(l, "[] ")
			if in == table {
				seen++
			}
			continue
		}
		k, _, ok := strings.Cut(l, "=")
		if ok && in == table && (index == "" || seen == want) && strings.TrimSpace(k) == name {
			return i + 1
		}
	}
	return 0
}

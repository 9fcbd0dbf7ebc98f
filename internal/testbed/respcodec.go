package testbed

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	maxBulkBytes    = 1 << 20
	minCommandWords = 2
	maxCommandWords = 4
)

// readCommand reads a RESP array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	if count < minCommandWords || count > maxCommandWords {
		return nil, fmt.Errorf("command of %d words", count)
	}
	words := make([]string, count)
	for i := range words {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(r, word); err != nil {
			return nil, err
		}
		words[i] = string(word[:size])
	}
	return words, nil
}

// readLength reads a line of a mark and a number.
func readLength(r *bufio.Reader, mark byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	length, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, string(mark))))
	if err != nil || line[0] != mark || length < 0 || length > maxBulkBytes {
		return 0, fmt.Errorf("%.40q is no length", line)
	}
	return length, nil
}

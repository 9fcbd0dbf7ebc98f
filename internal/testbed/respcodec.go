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

// readCommand reads a command: a RESP array of 2 to 4 bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	if count < minCommandWords || count > maxCommandWords {
		return nil, fmt.Errorf("command has %d words, want %d to %d", count, minCommandWords, maxCommandWords)
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

// readLength reads a RESP length line: the type byte and a number between 0 and maxBulkBytes.
func readLength(r *bufio.Reader, typeByte byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	length, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, string(typeByte))))
	if err != nil || line[0] != typeByte || length < 0 || length > maxBulkBytes {
		return 0, fmt.Errorf("invalid length line %.40q, want %q and a number up to %d", line, typeByte, maxBulkBytes)
	}
	return length, nil
}

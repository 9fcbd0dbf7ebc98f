package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// The director and the caches communicate in RESP, the Redis serialization protocol, of which they use only arrays of
// bulk strings.

// maxLength is the maximum number of bulk strings in an array, and the maximum size of a bulk string in bytes.
const maxLength = 1 << 20

// lineEnd terminates each length and each bulk string.
const lineEnd = "\r\n"

// encodeArray returns the words encoded as an array of bulk strings.
func encodeArray(words ...string) []byte {
	array := fmt.Appendf(nil, "*%d%s", len(words), lineEnd)
	for _, word := range words {
		array = fmt.Appendf(array, "$%d%s%s%s", len(word), lineEnd, word, lineEnd)
	}
	return array
}

// readCommand reads a command, an array of at least one bulk string, and returns its words.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, "*")
	if err != nil {
		return nil, fmt.Errorf("read command: %w", err)
	}
	if count == 0 {
		return nil, errors.New("invalid command: empty array")
	}
	words := make([]string, count)
	for i := range words {
		words[i], err = readWord(reader)
		if err != nil {
			return nil, err
		}
	}
	return words, nil
}

// readWord reads a bulk string of at most maxLength bytes.
func readWord(reader *bufio.Reader) (string, error) {
	size, err := readLength(reader, "$")
	if err != nil {
		return "", err
	}
	content := make([]byte, size+len(lineEnd))
	if _, err := io.ReadFull(reader, content); err != nil {
		return "", err
	}
	return string(content[:size]), nil
}

// readLength reads a line that holds the prefix and a length. It returns an error for a length above maxLength.
func readLength(reader *bufio.Reader, prefix string) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	length, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, prefix)))
	if err != nil || length < 0 || length > maxLength {
		return 0, fmt.Errorf("invalid length %q, want %s and a number of at most %d", line, prefix, maxLength)
	}
	return length, nil
}

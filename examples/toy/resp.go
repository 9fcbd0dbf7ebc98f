package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// The protocol between director and caches is RESP, the Redis serialization protocol; only arrays of bulk strings
// are used.

// maxLength bounds the words of an array and the bytes of a word.
const maxLength = 1 << 20

// lineEnd follows each length and each word.
const lineEnd = "\r\n"

// encodeArray encodes words as an array of bulk strings.
func encodeArray(words ...string) []byte {
	array := fmt.Appendf(nil, "*%d%s", len(words), lineEnd)
	for _, word := range words {
		array = fmt.Appendf(array, "$%d%s%s%s", len(word), lineEnd, word, lineEnd)
	}
	return array
}

// readCommand reads an array of at least one bulk string.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, "*")
	if err != nil {
		return nil, fmt.Errorf("no command: %w", err)
	}
	if count == 0 {
		return nil, errors.New("no command: the array is empty")
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

// readWord reads a bulk string.
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

// readLength reads a line that holds a prefix and a length.
func readLength(reader *bufio.Reader, prefix string) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	length, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, prefix)))
	if err != nil || length < 0 || length > maxLength {
		return 0, fmt.Errorf("%q is not a length", line)
	}
	return length, nil
}

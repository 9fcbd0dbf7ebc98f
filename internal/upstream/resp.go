package upstream

import (
	"errors"
	"fmt"
	"strconv"

	"shaleyard/internal/buffer"
)

// response is one response of a peer: ID WORD FIELDS BODY.
type response struct {
	id, status, fields string
	body               buffer.Chain // owned by whoever takes the answer
}

// parser takes RESP arrays of bulk strings off a stream, in whatever pieces it comes. Everything that the
// stream could make grow is bounded.
type parser struct {
	pool      *buffer.Pool
	maxFields int
	maxBody   int

	state        parseState
	line         []byte // of a length line under way
	remaining    int    // bytes of the bulk string still to come; of its end, in state inEnd
	elementCount int    // elements announced
	elementIndex int    // elements read
	element      []byte // element under way, of those before the body
	current      response
}

type parseState uint8

const (
	atArrayHeader parseState = iota // at the line with the number of elements
	atBulkHeader                    // at the line with a length
	inBulkData
	inTerminator // at the line end behind a bulk string
)

const (
	maxHeaderBytes = 32 // bytes of a length line
	maxIDBytes     = 64
	maxStatusBytes = 16
	maxElements    = 4
	minElements    = 2 // ID and WORD
)

var errHeaderTooLong = errors.New("length line too long")

// feed takes bytes; take is called with each whole answer. An error is final for the stream.
func (p *parser) feed(b []byte, take func(response)) error {
	for len(b) > 0 {
		var err error
		switch p.state {
		case atArrayHeader, atBulkHeader:
			b, err = p.parseHeader(b, take)
		case inBulkData:
			b, err = p.parseBulk(b)
		case inTerminator:
			b, err = p.parseTerminator(b, take)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// parseHeader reads the line that tells how many elements, or how many bytes, come next.
func (p *parser) parseHeader(b []byte, take func(response)) ([]byte, error) {
	for i, c := range b {
		if c != '\n' {
			if len(p.line) >= maxHeaderBytes {
				return nil, errHeaderTooLong
			}
			p.line = append(p.line, c)
			if !p.validHeaderByte() { // noise that never ends its line must not hold an attempt up
				return nil, fmt.Errorf("%.16q begins no length line", p.line)
			}
			continue
		}
		n, err := p.headerNumber()
		if err != nil {
			return nil, err
		}
		p.line = p.line[:0]
		if p.state == atArrayHeader {
			if n < minElements || n > maxElements {
				return nil, fmt.Errorf("answer of %d elements", n)
			}
			p.elementCount, p.elementIndex, p.state = n, 0, atBulkHeader
			p.current = response{body: p.pool.NewChain()}
			return b[i+1:], nil
		}
		if most := [maxElements]int{maxIDBytes, maxStatusBytes, p.maxFields, p.maxBody}[p.elementIndex]; n > most {
			return nil, fmt.Errorf("element %d of %d bytes, %d at most", p.elementIndex, n, most)
		}
		p.remaining, p.element, p.state = n, p.element[:0], inBulkData
		if n == 0 {
			p.remaining, p.state = 2, inTerminator
		}
		return b[i+1:], nil
	}
	return nil, nil
}

// validHeaderByte tells whether the latest byte of a line can stand there: its sign first, then digits and '\r'. No
// minus: a null string is no answer.
func (p *parser) validHeaderByte() bool {
	c, sign := p.line[len(p.line)-1], byte('*')
	if p.state == atBulkHeader {
		sign = '$'
	}
	if len(p.line) == 1 {
		return c == sign
	}
	return c == '\r' || (c >= '0' && c <= '9')
}

func (p *parser) headerNumber() (int, error) {
	l := p.line
	if len(l) < 3 || l[len(l)-1] != '\r' {
		return 0, fmt.Errorf("%.16q is no length line", l)
	}
	n, err := strconv.Atoi(string(l[1 : len(l)-1]))
	if err != nil {
		return 0, fmt.Errorf("length line: %w", err)
	}
	return n, nil
}

func (p *parser) parseBulk(b []byte) ([]byte, error) {
	k := min(p.remaining, len(b))
	if p.elementIndex == maxElements-1 {
		if err := p.current.body.Append(b[:k]); err != nil {
			return nil, err
		}
	} else {
		p.element = append(p.element, b[:k]...)
	}
	if p.remaining -= k; p.remaining == 0 {
		p.remaining, p.state = 2, inTerminator
	}
	return b[k:], nil
}

// parseTerminator reads the line parseTerminator behind a bulk string; behind the last one the answer is whole.
func (p *parser) parseTerminator(b []byte, take func(response)) ([]byte, error) {
	if b[0] != "\n\r"[p.remaining-1] {
		return nil, errors.New("bulk string longer than told")
	}
	if p.remaining--; p.remaining > 0 {
		return b[1:], nil
	}
	switch p.elementIndex {
	case 0:
		p.current.id = string(p.element)
	case 1:
		p.current.status = string(p.element)
	case 2:
		p.current.fields = string(p.element)
	}
	p.element = p.element[:0]
	if p.elementIndex++; p.elementIndex < p.elementCount {
		p.state = atBulkHeader
		return b[1:], nil
	}
	a := p.current
	p.current, p.state = response{}, atArrayHeader
	take(a)
	return b[1:], nil
}

// inProgress tells that a part of an answer has come, and not all of it.
func (p *parser) inProgress() bool { return p.state != atArrayHeader || len(p.line) > 0 }

// release gives back what an answer under way holds.
func (p *parser) release() { p.current.body.Release() }

// appendBulk and appendArrayHeader write what a peer is sent.
func appendArrayHeader(b []byte, n int) []byte {
	b = append(b, '*')
	return append(strconv.AppendInt(b, int64(n), 10), "\r\n"...)
}

func appendBulkHeader(b []byte, n int) []byte {
	b = append(b, '$')
	return append(strconv.AppendInt(b, int64(n), 10), "\r\n"...)
}

func appendBulkString(b []byte, s string) []byte {
	return append(append(appendBulkHeader(b, len(s)), s...), "\r\n"...)
}

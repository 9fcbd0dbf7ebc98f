package upstream

import (
	"errors"
	"fmt"
	"strconv"

	"shaleyard/internal/buffer"
)

// answer is one answer of a peer: ID WORD FIELDS BODY.
type answer struct {
	id, word, fields string
	body             buffer.Chain // owned by whoever takes the answer
}

// parser takes RESP arrays of bulk strings off a stream, in whatever pieces it comes. Everything that the
// stream could make grow is bounded.
type parser struct {
	pool       *buffer.Pool
	mostFields int
	mostBody   int

	state parseState
	line  []byte // of a length line under way
	left  int    // bytes of the bulk string still to come; of its end, in state inEnd
	args  int    // elements announced
	got   int    // elements read
	small []byte // element under way, of those before the body
	cur   answer
}

type parseState uint8

const (
	atArray parseState = iota // at the line with the number of elements
	atBulk                    // at the line with a length
	inBulk
	inEnd // at the line end behind a bulk string
)

const (
	mostLine  = 32 // bytes of a length line
	mostID    = 64
	mostWord  = 16
	elements  = 4
	leastArgs = 2 // ID and WORD
)

var errLine = errors.New("length line too long")

// feed takes bytes; take is called with each whole answer. An error is final for the stream.
func (p *parser) feed(b []byte, take func(answer)) error {
	for len(b) > 0 {
		var err error
		switch p.state {
		case atArray, atBulk:
			b, err = p.length(b, take)
		case inBulk:
			b, err = p.bulk(b)
		case inEnd:
			b, err = p.end(b, take)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// length reads the line that tells how many elements, or how many bytes, come next.
func (p *parser) length(b []byte, take func(answer)) ([]byte, error) {
	for i, c := range b {
		if c != '\n' {
			if len(p.line) >= mostLine {
				return nil, errLine
			}
			p.line = append(p.line, c)
			if !p.plausible() { // noise that never ends its line must not hold an attempt up
				return nil, fmt.Errorf("%.16q begins no length line", p.line)
			}
			continue
		}
		n, err := p.number()
		if err != nil {
			return nil, err
		}
		p.line = p.line[:0]
		if p.state == atArray {
			if n < leastArgs || n > elements {
				return nil, fmt.Errorf("answer of %d elements", n)
			}
			p.args, p.got, p.state = n, 0, atBulk
			p.cur = answer{body: p.pool.NewChain()}
			return b[i+1:], nil
		}
		if most := [elements]int{mostID, mostWord, p.mostFields, p.mostBody}[p.got]; n > most {
			return nil, fmt.Errorf("element %d of %d bytes, %d at most", p.got, n, most)
		}
		p.left, p.small, p.state = n, p.small[:0], inBulk
		if n == 0 {
			p.left, p.state = 2, inEnd
		}
		return b[i+1:], nil
	}
	return nil, nil
}

// plausible tells whether the latest byte of a line can stand there: its sign first, then digits and '\r'. No
// minus: a null string is no answer.
func (p *parser) plausible() bool {
	c, sign := p.line[len(p.line)-1], byte('*')
	if p.state == atBulk {
		sign = '$'
	}
	if len(p.line) == 1 {
		return c == sign
	}
	return c == '\r' || (c >= '0' && c <= '9')
}

func (p *parser) number() (int, error) {
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

func (p *parser) bulk(b []byte) ([]byte, error) {
	k := min(p.left, len(b))
	if p.got == elements-1 {
		if err := p.cur.body.Append(b[:k]); err != nil {
			return nil, err
		}
	} else {
		p.small = append(p.small, b[:k]...)
	}
	if p.left -= k; p.left == 0 {
		p.left, p.state = 2, inEnd
	}
	return b[k:], nil
}

// end reads the line end behind a bulk string; behind the last one the answer is whole.
func (p *parser) end(b []byte, take func(answer)) ([]byte, error) {
	if b[0] != "\n\r"[p.left-1] {
		return nil, errors.New("bulk string longer than told")
	}
	if p.left--; p.left > 0 {
		return b[1:], nil
	}
	switch p.got {
	case 0:
		p.cur.id = string(p.small)
	case 1:
		p.cur.word = string(p.small)
	case 2:
		p.cur.fields = string(p.small)
	}
	p.small = p.small[:0]
	if p.got++; p.got < p.args {
		p.state = atBulk
		return b[1:], nil
	}
	a := p.cur
	p.cur, p.state = answer{}, atArray
	take(a)
	return b[1:], nil
}

// midway tells that a part of an answer has come, and not all of it.
func (p *parser) midway() bool { return p.state != atArray || len(p.line) > 0 }

// release gives back what an answer under way holds.
func (p *parser) release() { p.cur.body.Release() }

// appendBulk and appendArray write what a peer is sent.
func appendArray(b []byte, n int) []byte {
	b = append(b, '*')
	return append(strconv.AppendInt(b, int64(n), 10), "\r\n"...)
}

func appendLen(b []byte, n int) []byte {
	b = append(b, '$')
	return append(strconv.AppendInt(b, int64(n), 10), "\r\n"...)
}

func appendBulk(b []byte, s string) []byte {
	return append(append(appendLen(b, len(s)), s...), "\r\n"...)
}

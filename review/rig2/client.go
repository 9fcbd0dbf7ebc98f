package rig2

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Kinds of answers.
const (
	Served   = "served"
	Refused  = "refused"
	Failed   = "failed"
	NoAnswer = "no answer" // the connection ended, or the time is over
)

// Answer is a director's answer to a request.
type Answer struct {
	Kind   string
	Body   []byte
	Fields map[string]string
	Good   bool
	At     time.Time
}

// Client is a client's connection to a director.
type Client struct {
	net.Conn
	writing sync.Mutex
	mu      sync.Mutex
	lastSeq int32
	waiting map[int32]chan Answer
	ended   bool
	extra   int // answers to nothing that is open
}

// Dial connects a client.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{Conn: conn, waiting: map[int32]chan Answer{}}
	go c.read()
	return c, nil
}

// Ref returns a new id of a request.
func Ref() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Frame returns the frame of a submit.
func Frame(seq int32, fields map[string]string, body []byte) []byte {
	message := header("submit", 1, seq)
	message = append(message, 13, 0, 1, 11, 11)
	message = binary.BigEndian.AppendUint32(message, uint32(len(fields)))
	for key, value := range fields {
		message = appendText(message, key)
		message = appendText(message, value)
	}
	message = append(message, 11, 0, 2)
	message = appendText(message, string(body))
	message = append(message, 0)
	return frame(message)
}

func header(method string, kind byte, seq int32) []byte {
	message := []byte{0x80, 0x01, 0, kind}
	message = appendText(message, method)
	return binary.BigEndian.AppendUint32(message, uint32(seq))
}

func appendText(message []byte, text string) []byte {
	message = binary.BigEndian.AppendUint32(message, uint32(len(text)))
	return append(message, text...)
}

func frame(message []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// Open takes a new sequence number, and returns it with the channel of its answer.
func (c *Client) Open() (int32, chan Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSeq++
	answer := make(chan Answer, 1)
	if c.ended {
		answer <- Answer{Kind: NoAnswer, At: time.Now()}
		return c.lastSeq, answer
	}
	c.waiting[c.lastSeq] = answer
	return c.lastSeq, answer
}

// Send writes bytes.
func (c *Client) Send(data []byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := c.Write(data)
	return err
}

// Submit sends a request and returns the channel of its answer.
func (c *Client) Submit(fields map[string]string, body []byte) chan Answer {
	seq, answer := c.Open()
	_ = c.Send(Frame(seq, fields, body))
	return answer
}

// Wait returns the answer from the channel, or NoAnswer once the time is over.
func Wait(answer chan Answer, limit time.Duration) Answer {
	select {
	case got := <-answer:
		return got
	case <-time.After(limit):
		return Answer{Kind: NoAnswer, At: time.Now()}
	}
}

// Heartbeat reports whether a heartbeat is answered with good.
func (c *Client) Heartbeat(limit time.Duration) bool {
	seq, answer := c.Open()
	message := header("heartbeat", 1, seq)
	message = append(message, 2, 0, 1, 0, 0)
	_ = c.Send(frame(message))
	return Wait(answer, limit).Good
}

func (c *Client) read() {
	reader := bufio.NewReader(c)
	for {
		seq, answer, err := readAnswer(reader)
		c.mu.Lock()
		if err != nil {
			c.ended = true
			for _, waiting := range c.waiting {
				waiting <- Answer{Kind: NoAnswer, At: time.Now()}
			}
			c.waiting = map[int32]chan Answer{}
			c.mu.Unlock()
			return
		}
		waiting := c.waiting[seq]
		delete(c.waiting, seq)
		if waiting == nil {
			c.extra++
		} else {
			waiting <- answer
		}
		c.mu.Unlock()
	}
}

// Extra returns the number of answers that came for nothing that was open.
func (c *Client) Extra() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extra
}

// Ended reports whether the director has closed the connection.
func (c *Client) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

var errAnswer = errors.New("answer that can't be read")

const maxAnswer = 1 << 20

func readAnswer(reader io.Reader) (int32, Answer, error) {
	var length [4]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return 0, Answer{}, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxAnswer {
		return 0, Answer{}, errAnswer
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(reader, message); err != nil {
		return 0, Answer{}, err
	}
	r := &decoder{data: message}
	version := r.number(4)
	r.text()
	seq := int32(r.number(4))
	answer := Answer{Kind: Failed, At: time.Now()}
	if version&0xff == 2 {
		r.result(&answer)
	}
	return seq, answer, r.err
}

type decoder struct {
	data []byte
	err  error
}

func (d *decoder) take(n int) []byte {
	if n < 0 || n > len(d.data) {
		d.err = errAnswer
		d.data = nil
		return make([]byte, 8)
	}
	taken := d.data[:n]
	d.data = d.data[n:]
	return taken
}

func (d *decoder) number(size int) uint32 {
	value := uint32(0)
	for _, b := range d.take(size)[:size] {
		value = value<<8 | uint32(b)
	}
	return value
}

func (d *decoder) text() []byte { return d.take(int(d.number(4))) }

func (d *decoder) fieldMap() map[string]string {
	d.take(2)
	fields := map[string]string{}
	for count := d.number(4); count > 0 && d.err == nil; count-- {
		key := string(d.text())
		fields[key] = string(d.text())
	}
	return fields
}

func (d *decoder) result(answer *Answer) {
	d.take(1)
	kinds := map[uint32]string{0: Served, 1: Refused, 2: Failed}
	answer.Kind = kinds[d.number(2)]
	for d.err == nil {
		switch kind := d.take(1)[0]; kind {
		case 0:
			return
		case 2:
			d.take(2)
			answer.Good = d.take(1)[0] != 0
		case 11:
			d.take(2)
			answer.Body = d.text()
		case 13:
			d.take(2)
			answer.Fields = d.fieldMap()
		default:
			d.err = errAnswer
		}
	}
}

// RevokeFrame returns the frame of a revoke.
func RevokeFrame(seq int32) []byte {
	message := header("revoke", 4, 0)
	message = append(message, 8, 0, 1)
	message = binary.BigEndian.AppendUint32(message, uint32(seq))
	return frame(append(message, 0))
}

// SendPieces writes bytes in pieces with a pause before each but the first.
func (c *Client) SendPieces(data []byte, pieces int, pause time.Duration) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	for i := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := c.Write(data[i*len(data)/pieces : (i+1)*len(data)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

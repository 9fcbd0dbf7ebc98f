package eventloop

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// errNotRegistered reports a connection that the loop could not wait on: it was closed before anything was sent or
// received on it.
var errNotRegistered = errors.New("the event loop could not take the connection")

// pendingDial carries a stream from its dial to OnOpen.
type pendingDial struct {
	stream Stream
	opened bool
}

// Dial opens a connection within the limit, off the loop, and reports the result on the loop.
func (l *Loop) Dial(address string, limit time.Duration, s Stream) {
	go func() {
		if err := l.dial(address, limit, s); err != nil {
			l.Do(func() { s.Failed(err) })
		}
	}()
}

func (l *Loop) dial(address string, limit time.Duration, s Stream) error {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return err
	}
	pending := &pendingDial{stream: s}
	if err := l.register(conn, pending); err != nil {
		return err
	}
	if !pending.opened {
		return errNotRegistered
	}
	return nil
}

// register hands a connection to the loop. When it returns without an error, the loop has called OnOpen with the given
// context value, unless the system refused to wait on the connection. The connection itself is closed in any case: the
// loop holds a duplicate.
func (l *Loop) register(conn net.Conn, value any) error {
	registered, err := l.gnetLoop.Enroll(gnet.NewContext(context.Background(), value), conn)
	if err != nil {
		conn.Close()
		return err
	}
	return (<-registered).Err
}

package eventloop

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// errNotRegistered reports that epoll_ctl failed for a connection, so that the loop closed it before anything was sent
// or received on it.
var errNotRegistered = errors.New("cannot register the connection with the event loop")

// pendingDial is the context value of a dialled connection that is being registered with the loop. OnOpen takes the
// stream from it and sets opened.
type pendingDial struct {
	stream Stream
	opened bool
}

// Dial implements Dialer. It connects on a goroutine of its own, within the timeout, and calls Opened or Failed of the
// stream on the loop.
func (l *Loop) Dial(address string, timeout time.Duration, s Stream) (cancel func()) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		defer cancel()
		if err := l.dial(ctx, address, s); err != nil {
			l.Do(func() { s.Failed(err) })
		}
	}()
	return cancel
}

func (l *Loop) dial(ctx context.Context, address string, s Stream) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
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

// register registers a connection with the loop. If it returns nil, the loop has called OnOpen with value as the
// connection's context, unless epoll_ctl failed for the connection: gnet reports no error then. conn itself is closed
// in any case, as the loop works on a duplicate of its descriptor.
func (l *Loop) register(conn net.Conn, value any) error {
	registered, err := l.gnetLoop.Enroll(gnet.NewContext(context.Background(), value), conn)
	if err != nil {
		conn.Close()
		return err
	}
	return (<-registered).Err
}

package eventloop

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// idleTickInterval is the time between two calls of OnTick after the first one. gnet requires an interval, but only the
// first call has work to do, which is to register the wakeup socket. The interval is therefore very long.
const idleTickInterval = 24 * time.Hour

// wakeupContext is the context value of the wakeup socket, by which OnOpen recognizes it.
type wakeupContext struct{}

// OnBoot implements gnet.EventHandler. The engine has no event loop yet, so OnTick registers the wakeup socket.
func (l *Loop) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	return gnet.None
}

// OnTick implements gnet.EventHandler. gnet calls it on a goroutine of its own, not on the loop. The event loop exists
// by the first call, which registers the wakeup socket; later calls do nothing.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	if l.wakeupSocket != nil {
		return idleTickInterval, gnet.None
	}
	if err := l.registerWakeup(); err != nil {
		l.wakeupErr = fmt.Errorf("register wakeup socket: %w", err)
		return idleTickInterval, gnet.Shutdown
	}
	return idleTickInterval, gnet.None
}

// registerWakeup registers the wakeup socket, obtains the event loop from the socket's connection, and runs boot on
// that loop.
func (l *Loop) registerWakeup() error {
	socket, err := openWakeupSocket()
	if err != nil {
		return err
	}
	l.wakeupSocket = socket
	ctx := gnet.NewContext(gnet.NewNetConnContext(context.Background(), socket), wakeupContext{})
	registered, err := l.engine.Register(ctx)
	if err != nil {
		return err
	}
	result := <-registered
	if result.Err != nil {
		return result.Err
	}
	gnetLoop := result.Conn.EventLoop()
	return gnetLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		defer l.resetAlarm()
		l.boot(gnetLoop)
		return nil
	}))
}

// openWakeupSocket returns the wakeup socket: a UDP socket on loopback, connected to the address of another socket that
// is closed again. Nothing is ever sent on the wakeup socket: it exists only because gnet gives access to its EventLoop
// through a connection. It is not one of a pair of Unix sockets because the process may be confined to IPv4 sockets,
// TCP and UDP.
func openWakeupSocket() (net.Conn, error) {
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	defer peer.Close()
	return net.DialUDP("udp4", nil, peer.LocalAddr().(*net.UDPAddr))
}

// boot stores the event loop, calls Boot and begins to accept connections. It runs once, on the loop.
func (l *Loop) boot(gnetLoop gnet.EventLoop) {
	l.gnetLoop = gnetLoop
	l.Boot()
	go l.acceptConnections()
}

// OnOpen implements gnet.EventHandler.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	defer l.resetAlarm()
	l.checkForPause()
	switch opened := c.Context().(type) {
	case wakeupContext:
		// The wakeup socket gets no session: the acceptor would take it for a client's connection and close it for
		// sending nothing.
	case *pendingDial:
		opened.opened = true
		c.SetContext(opened.stream)
		opened.stream.Opened(gnetConn{c})
	case *acceptedConn:
		opened.opened = true
		session := l.Acceptor.Accept(gnetConn{c})
		if session == nil {
			return nil, gnet.Close
		}
		c.SetContext(session)
	}
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	defer l.resetAlarm()
	l.checkForPause()
	session, ok := c.Context().(Session)
	data, _ := c.Next(-1)
	if !ok {
		return gnet.None
	}
	if err := session.Data(data); err != nil {
		l.SessionFailed(err)
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, _ error) gnet.Action {
	defer l.resetAlarm()
	l.checkForPause()
	if session, ok := c.Context().(Session); ok {
		session.Closed()
	}
	return gnet.None
}

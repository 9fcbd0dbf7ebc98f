package eventloop

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// neverTick is the pause between two ticks of gnet once the wakeup socket is registered.
const neverTick = 24 * time.Hour

// wakeupContext marks the wakeup socket.
type wakeupContext struct{}

// OnBoot implements gnet.EventHandler. The engine has no event loop yet, so the wakeup socket is left to OnTick.
func (l *Loop) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	return gnet.None
}

// OnTick implements gnet.EventHandler. It runs beside the loop. Its first call, when the event loop exists, registers
// the wakeup socket; later ones have nothing to do.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	if l.wakeupSocket != nil {
		return neverTick, gnet.None
	}
	if err := l.registerWakeup(); err != nil {
		l.wakeupErr = fmt.Errorf("wakeup socket: %w", err)
		return neverTick, gnet.Shutdown
	}
	return neverTick, gnet.None
}

// registerWakeup registers the wakeup socket, takes the event loop from it, and boots on that.
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

// openWakeupSocket opens a UDP socket on loopback, connected to one of its own that is closed again. Nothing is ever
// sent on it. It is not a pair of Unix sockets because the process may be confined to IPv4 sockets, TCP and UDP.
func openWakeupSocket() (net.Conn, error) {
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	defer peer.Close()
	return net.DialUDP("udp4", nil, peer.LocalAddr().(*net.UDPAddr))
}

// boot stores the event loop and calls Boot, once, on the loop. Connections are accepted from then on.
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
		// Not a client's connection: it is not to be closed for sending nothing.
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

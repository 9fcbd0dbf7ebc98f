// Command toy stands in for the fleet around one shaleyard, so that the program can be tried on one machine: it
// serves a cache, an origin and a discovery service on the addresses of examples/config.json. With -get or -pay
// it is a client instead, which sends one request, prints the answer and exits.
//
// It is a demonstration: what it has cached stays in memory without a bound, and it has no timeouts.
package main

import (
	"flag"
	"fmt"
	"log"
	"net"
)

func main() {
	cache := flag.String("cache", "127.0.0.1:8081", "address of the cache")
	origin := flag.String("origin", "127.0.0.1:8082", "address of the origin")
	feed := flag.String("feed", "127.0.0.1:2379", "address of the control feed")
	director := flag.String("director", "127.0.0.1:8080", "address of the director, for -get and -pay")
	get := flag.String("get", "", "ask the director for this object (16 hex digits) and end")
	pay := flag.String("pay", "", "send the director this repayment and end")
	flag.Parse()

	var err error
	switch {
	case *pay != "":
		err = printAnswer(*director, newRepayment(*pay))
	case *get != "":
		err = printAnswer(*director, newObjectRequest(*get))
	default:
		err = serveAll([]service{
			{name: "cache", address: *cache, serve: newCache().serve},
			{name: "origin", address: *origin, serve: newOrigin().serve},
			{name: "feed", address: *feed, serve: serveEndpointList},
		})
	}
	if err != nil {
		log.Fatal("toy: ", err)
	}
}

// printAnswer sends the director a request and prints the body of its answer.
func printAnswer(director string, req request) error {
	body, err := send(director, req)
	if err != nil {
		return err
	}
	fmt.Printf("served: %s", body)
	return nil
}

// service is one of the servers that the program runs.
type service struct {
	name    string               // as log lines name it
	address string               // host and port to listen on
	serve   func(net.Conn) error // serves a connection until it ends; the caller closes it
}

// serveAll runs all services until one can't listen or accept any more, and returns the error.
func serveAll(services []service) error {
	ended := make(chan error)
	for _, s := range services {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return err
		}
		log.Printf("%s on %s", s.name, listener.Addr())
		go func() { ended <- s.acceptAll(listener) }()
	}
	return <-ended
}

// acceptAll serves each connection in a goroutine of its own. It returns the error that ends the listener.
func (s service) acceptAll(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serveConn(conn)
	}
}

// serveConn serves a connection until it ends, and logs why.
func (s service) serveConn(conn net.Conn) {
	defer conn.Close()
	if err := s.serve(conn); err != nil {
		log.Printf("%s: %v", s.name, err)
	}
}

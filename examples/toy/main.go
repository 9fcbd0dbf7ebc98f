// Command toy simulates the fleet around one shaleyard director, so that the director can be tried out on one machine.
// It runs a cache, an origin and a discovery service on the addresses of examples/config.json. With -get or -pay it
// runs as a client instead: it sends one request to the director, prints the answer and exits.
//
// It is a demonstration: its cache grows without bound, and its connections have no timeouts.
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
	feed := flag.String("feed", "127.0.0.1:2379", "address of the discovery service")
	director := flag.String("director", "127.0.0.1:8080", "address of the director, for -get and -pay")
	get := flag.String("get", "", "request this object (16 hex digits) from the director, print the answer and exit")
	pay := flag.String("pay", "", "submit this repayment to the director, print the answer and exit")
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
			{name: "feed", address: *feed, serve: serveEndpointList}, // the discovery service
		})
	}
	if err != nil {
		log.Fatal("toy: ", err)
	}
}

// printAnswer sends a request to the director and prints the body of the answer.
func printAnswer(director string, req request) error {
	body, err := send(director, req)
	if err != nil {
		return err
	}
	fmt.Printf("served: %s", body)
	return nil
}

// service is a TCP server that the program runs.
type service struct {
	name    string               // in log lines
	address string               // host and port to listen on
	serve   func(net.Conn) error // serves one connection; the caller closes it
}

// serveAll runs all services until one of them fails to listen or to accept a connection, and returns that error.
func serveAll(services []service) error {
	errs := make(chan error)
	for _, s := range services {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return err
		}
		log.Printf("%s: listening on %s", s.name, listener.Addr())
		go func() { errs <- s.acceptAll(listener) }()
	}
	return <-errs
}

// acceptAll accepts connections and serves each of them in a new goroutine. It returns the first error of the listener.
func (s service) acceptAll(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serveConn(conn)
	}
}

// serveConn serves a connection, logs the error that ended it and closes it.
func (s service) serveConn(conn net.Conn) {
	defer conn.Close()
	if err := s.serve(conn); err != nil {
		log.Printf("%s: %v", s.name, err)
	}
}

package main

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"time"
)

// Errors that the director answers a request with.
var (
	errRejected = errors.New("request rejected: it had no effect and is safe to retry")
	errFailed   = errors.New("request failed: it may have had an effect")
)

// repaymentObject is the object id, 16 hex digits, that a repayment carries in place of its account. The toy has no
// accounts, so any id is valid.
const repaymentObject = "0000000000000001"

// request is a request of the client to the director.
type request struct {
	service string
	timeout time.Duration
	object  string // 16 hex digits
	body    string
}

// newObjectRequest returns a request for an object, with a timeout of 5 seconds.
func newObjectRequest(object string) request {
	return request{service: "media", timeout: 5 * time.Second, object: object}
}

// newRepayment returns a request that submits a repayment, with a timeout of 3 seconds. A repayment must not be
// executed twice.
func newRepayment(payment string) request {
	return request{service: "repayment", timeout: 3 * time.Second, object: repaymentObject, body: payment}
}

// send sends a request to the director over a new connection and returns the body of the answer. It returns errRejected
// or errFailed if the director rejects or fails the request.
func send(director string, req request) ([]byte, error) {
	conn, err := net.Dial("tcp", director)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	id, err := newRequestID()
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(encodeSubmit(id, req)); err != nil {
		return nil, err
	}
	answer, err := readFrame(conn)
	if err != nil {
		return nil, err
	}
	return decodeAnswer(answer)
}

// newRequestID returns a random id of 16 hex digits.
func newRequestID() (string, error) {
	id := make([]byte, 8)
	if _, err := rand.Read(id); err != nil {
		return "", err
	}
	return hex.EncodeToString(id), nil
}

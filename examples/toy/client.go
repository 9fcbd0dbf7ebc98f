package main

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"time"
)

// Answers of the director that are no success.
var (
	errRefused = errors.New("refused: trying again is harmless")
	errFailed  = errors.New("failed")
)

// repaymentObject stands for the account in a repayment. The toy knows no accounts, so any object will do.
const repaymentObject = "0000000000000001"

// request is what the client asks the director for.
type request struct {
	service string
	timeout time.Duration
	object  string // 16 hex digits
	body    string
}

// newObjectRequest returns a request for an object.
func newObjectRequest(object string) request {
	return request{service: "media", timeout: 5 * time.Second, object: object}
}

// newRepayment returns a repayment, which must not run twice.
func newRepayment(payment string) request {
	return request{service: "repayment", timeout: 3 * time.Second, object: repaymentObject, body: payment}
}

// send sends a request to the director over a connection of its own and returns the body of the answer.
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

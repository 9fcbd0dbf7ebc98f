package downstream

import (
	"errors"
	"fmt"

	"shaleyard/internal/thrift"
)

// This file encodes and decodes the messages of the clients' service, which has this Thrift definition:
//
//	struct Answer { 1: binary body, 2: map<string,string> fields, 3: bool good }
//	exception Overloaded { 1: map<string,string> fields }
//	exception Internal { 1: map<string,string> fields }
//	service Front {
//	  Answer submit(1: map<string,string> fields, 2: binary body) throws (1: Overloaded refused, 2: Internal failed)
//	  oneway void revoke(1: i32 seqid)
//	  Answer heartbeat(1: bool unused)
//	}

// Method names of the service.
const (
	methodSubmit    = "submit"
	methodRevoke    = "revoke"
	methodHeartbeat = "heartbeat"
)

// Field ids of the service's structs.
const (
	submitArgFields = 1
	submitArgBody   = 2
	revokeArgSeqID  = 1

	resultAnswer     = 0
	resultOverloaded = 1
	resultInternal   = 2

	answerBody      = 1
	answerFields    = 2
	answerGood      = 3
	exceptionFields = 1
)

// Keys of the field map of an Answer or an exception.
const (
	fieldNotModified = "valid"    // "1": the client's copy is current
	fieldRetryAfter  = "cooldown" // milliseconds
)

// errFieldMapType is the error for a request whose field map does not have strings as keys and values. Its text is sent
// to the client.
var errFieldMapType = errors.New("fields are no map of strings")

// fieldCountError reports that a request has too many fields. Its text is sent to the client.
type fieldCountError struct{ count, limit int }

// Error implements error.
func (e *fieldCountError) Error() string {
	return fmt.Sprintf("%d fields, %d at most", e.count, e.limit)
}

// submitArgs holds the arguments of submit. The body is a view of the frame.
type submitArgs struct {
	fields map[string]string
	body   []byte
}

// readSubmitArgs reads the arguments of submit. Errors are left in the reader. Struct fields of an unknown id or an
// unexpected type are skipped.
func readSubmitArgs(r *thrift.Reader, maxFields int) (args submitArgs) {
	r.Fields(func(id int16, valueType thrift.Type) {
		switch {
		case id == submitArgFields && valueType == thrift.Map:
			args.fields = readFieldMap(r, maxFields)
		case id == submitArgBody && valueType == thrift.String:
			args.body = r.Bytes()
		default:
			r.Skip(valueType)
		}
	})
	return args
}

// readFieldMap reads a map from strings to strings with at most maxFields entries. Errors are left in the reader. The
// types of an empty map are not checked.
func readFieldMap(r *thrift.Reader, maxFields int) map[string]string {
	keyType, valueType, count := r.MapHeader()
	if count > 0 && (keyType != thrift.String || valueType != thrift.String) {
		r.Fail(errFieldMapType)
	}
	if int(count) > maxFields {
		r.Fail(&fieldCountError{count: int(count), limit: maxFields})
	}
	fields := map[string]string{}
	r.Repeat(count, func() {
		key := string(r.Bytes())
		fields[key] = string(r.Bytes())
	})
	return fields
}

// readRevokeArgs reads the sequence number of the request to revoke, and returns 0 if it is missing. Errors are left in
// the reader.
func readRevokeArgs(r *thrift.Reader) (seqID int32) {
	r.Fields(func(id int16, valueType thrift.Type) {
		if id == revokeArgSeqID && valueType == thrift.I32 {
			seqID = r.Int32()
			return
		}
		r.Skip(valueType)
	})
	return seqID
}

// beginAnswer writes the beginning of a reply that holds an Answer, up to and including the length of its body. The
// body has to follow, and then the output of finishAnswer.
func beginAnswer(w *thrift.Writer, method string, seqID int32, bodyLength int) {
	w.Begin(thrift.Reply, method, seqID)
	w.PutField(thrift.Struct, resultAnswer)
	w.PutField(thrift.String, answerBody)
	w.PutInt32(int32(bodyLength))
}

// finishAnswer writes the part of a reply that follows the body of its Answer. The Answer's field map is given as keys
// and values alternately.
func finishAnswer(w *thrift.Writer, good bool, fields ...string) {
	w.PutField(thrift.Map, answerFields)
	w.PutStringMap(fields...)
	w.PutField(thrift.Bool, answerGood)
	w.PutBool(good)
	w.PutStop() // of the Answer
	w.PutStop() // of the result
}

// exceptionFrame returns the frame of a reply to submit that holds the exception with the id resultField. The
// exception's field map is given as keys and values alternately.
func exceptionFrame(w *thrift.Writer, seqID int32, resultField int16, fields ...string) []byte {
	w.Begin(thrift.Reply, methodSubmit, seqID)
	w.PutField(thrift.Struct, resultField)
	w.PutField(thrift.Map, exceptionFields)
	w.PutStringMap(fields...)
	w.PutStop() // of the exception
	w.PutStop() // of the result
	return w.Frame(0)
}

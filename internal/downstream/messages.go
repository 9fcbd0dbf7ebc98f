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
	submitArgFields    = 1
	submitArgBody      = 2
	revokeArgSeqID     = 1
	heartbeatArgUnused = 1

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

// Errors of malformed arguments. Their texts are sent to the client.
var (
	errFieldMapType     = errors.New("fields are no map of strings")
	errRepeatedField    = errors.New("a field is given twice")
	errRepeatedArgument = errors.New("an argument is given twice")
)

// unknownArgumentError reports that a message has an argument that the service does not define. Its text is sent to the
// client.
type unknownArgumentError struct{ id int16 }

// Error implements error.
func (e *unknownArgumentError) Error() string { return fmt.Sprintf("argument %d is unknown", e.id) }

// argumentTypeError reports that an argument does not have the type that the service defines. Its text is sent to the
// client.
type argumentTypeError struct {
	id        int16
	valueType thrift.Type
}

// Error implements error.
func (e *argumentTypeError) Error() string {
	return fmt.Sprintf("argument %d has the wrong type %d", e.id, e.valueType)
}

// fieldCountError reports that a request has too many fields. Its text is sent to the client.
type fieldCountError struct{ count, limit int }

// Error implements error.
func (e *fieldCountError) Error() string {
	return fmt.Sprintf("%d fields, %d at most", e.count, e.limit)
}

// readArguments reads the struct of a method's arguments up to the end of its message, and calls argument for each one
// whose id is a key of types. Each argument must have the type that the service defines and be given at most once, so
// that no part of a malformed message is taken for a whole one. The function unknown gets arguments of another id and
// must skip them or fail. Errors are left in the reader.
func readArguments(r *thrift.Reader, types map[int16]thrift.Type, argument func(id int16),
	unknown func(id int16, valueType thrift.Type)) {
	given := make(map[int16]bool, len(types))
	r.Fields(func(id int16, valueType thrift.Type) {
		want, known := types[id]
		if !known {
			unknown(id, valueType)
			return
		}
		if valueType != want {
			r.Fail(&argumentTypeError{id: id, valueType: valueType})
		}
		if given[id] {
			r.Fail(errRepeatedArgument)
		}
		given[id] = true
		argument(id)
	})
	r.End()
}

// skipUnknown returns a function for readArguments that skips arguments of an unknown id, as Thrift requires.
func skipUnknown(r *thrift.Reader) func(id int16, valueType thrift.Type) {
	return func(_ int16, valueType thrift.Type) { r.Skip(valueType) }
}

// submitArgs holds the arguments of submit. The body is a view of the frame.
type submitArgs struct {
	fields map[string]string
	body   []byte
}

var submitArgTypes = map[int16]thrift.Type{submitArgFields: thrift.Map, submitArgBody: thrift.String}

// readSubmitArgs reads the arguments of submit. Errors are left in the reader. Unknown arguments are an error, other
// than in the methods that execute nothing: behind a body or a field whose length is wrong, the rest of its content can
// read as unknown arguments, and the request would be forwarded without it.
func readSubmitArgs(r *thrift.Reader, maxFields int) (args submitArgs) {
	argument := func(id int16) {
		if id == submitArgFields {
			args.fields = readFieldMap(r, maxFields)
			return
		}
		args.body = r.Bytes()
	}
	readArguments(r, submitArgTypes, argument, func(id int16, _ thrift.Type) { r.Fail(&unknownArgumentError{id: id}) })
	return args
}

// readFieldMap reads a map from strings to strings with at most maxFields entries and no key twice. Errors are left in
// the reader. The types of an empty map are not checked.
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
		if _, repeated := fields[key]; repeated {
			r.Fail(errRepeatedField)
		}
		fields[key] = string(r.Bytes())
	})
	return fields
}

var revokeArgTypes = map[int16]thrift.Type{revokeArgSeqID: thrift.I32}

// readRevokeArgs reads the sequence number of the request to revoke, and returns 0 if it is missing. Errors are left in
// the reader.
func readRevokeArgs(r *thrift.Reader) (seqID int32) {
	readArguments(r, revokeArgTypes, func(int16) { seqID = r.Int32() }, skipUnknown(r))
	return seqID
}

var heartbeatArgTypes = map[int16]thrift.Type{heartbeatArgUnused: thrift.Bool}

// readHeartbeatArgs reads the argument of a heartbeat, which has no meaning. Errors are left in the reader.
func readHeartbeatArgs(r *thrift.Reader) {
	readArguments(r, heartbeatArgTypes, func(int16) { r.Byte() }, skipUnknown(r))
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

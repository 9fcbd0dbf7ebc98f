package downstream

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// goldenCase is a named stream of bytes from a client.
type goldenCase struct{ name, stream string }

// TestGoldenMessages compares the results of all forms of messages, valid and malformed, with a golden file. The
// results must not depend on how the stream is split into reads.
func TestGoldenMessages(t *testing.T) {
	cases := slices.Concat(goldenMessageForms(), goldenUnknownMethods(), goldenSequenceNumbers(), goldenRevokes(),
		goldenFieldValues(), goldenBadFrames(), goldenBadStructs(), goldenNesting(), goldenTruncations())
	var all strings.Builder
	for _, c := range cases {
		whole := goldenRun(t, c, len(c.stream))
		sizes := []int{1, 3, 64}
		if len(c.stream) > 10_000 {
			sizes = []int{1000, 4096}
		}
		for _, size := range sizes {
			if text := goldenRun(t, c, size); text != whole {
				t.Errorf("%s: in pieces of %d bytes:\n%s\nwhole:\n%s", c.name, size, text, whole)
			}
		}
		all.WriteString(whole)
	}
	checkGolden(t, "messages.txt", all.String())
}

// goldenRun returns the transcript of a case whose stream is received in pieces of at most size bytes.
func goldenRun(t *testing.T, c goldenCase, size int) string {
	t.Helper()
	g := newGoldenConnection(t, goldenOptions{})
	g.transcript.line("%s", c.name)
	g.transcript.line("  received %s", goldenBytes([]byte(c.stream)))
	g.receive(c.stream, size)
	return g.end()
}

// goldenUnknown is the encoding of struct fields of all types, with ids that the protocol does not define.
const goldenUnknown = "\x02\x00\x09\x01" + "\x03\x00\x0a\x07" + "\x04\x00\x0b12345678" + "\x06\x00\x0c12" +
	"\x08\x00\x0d1234" + "\x0a\x00\x0e12345678" + "\x0b\x00\x0f\x00\x00\x00\x01x" +
	"\x0c\x00\x10\x0b\x00\x01\x00\x00\x00\x00\x00" +
	"\x0d\x00\x11\x08\x0b\x00\x00\x00\x01\x00\x00\x00\x07\x00\x00\x00\x01y" + "\x0d\x00\x12\x00\x00\x00\x00\x00\x00" +
	"\x0e\x00\x13\x08\x00\x00\x00\x01\x00\x00\x00\x01" + "\x0f\x00\x14\x0c\x00\x00\x00\x01\x00" +
	"\x0b\xff\xff\x00\x00\x00\x00"

// goldenMessageForms returns valid messages in all their forms, and requests with invalid arguments in valid messages.
func goldenMessageForms() []goldenCase {
	submit := func(arguments string) string { return goldenFrame(goldenMessage(1, "submit", 1, arguments)) }
	fields, body := goldenMap(goldenFields()...), goldenBody("the body\x00\xff")
	requiredFields := goldenMap(goldenFields("chunk", "-", "tag", "-", "room", "-", "known", "-", "replay", "-")...)
	return []goldenCase{
		{"submit, all fields and a body", submit(fields + body + "\x00")},
		{"submit, the body first", submit(body + fields + "\x00")},
		{"submit, no body", submit(fields + "\x00")},
		{"submit, empty body", submit(fields + goldenBody("") + "\x00")},
		{"submit, the fields that must be there", submit(requiredFields + "\x00")},
		{"submit, unknown struct fields",
			submit(goldenUnknown + fields + goldenUnknown + body + goldenUnknown + "\x00")},
		{"submit, unknown request fields",
			submit(goldenMap(append(goldenFields(), "unheard", "of", "", "")...) + "\x00")},
		{"submit, a request field twice", submit(goldenMap(append(goldenFields(), "chunk", "4")...) + "\x00")},
		{"submit, the field map twice", submit(requiredFields + fields + "\x00")},
		{"submit, the body twice", submit(fields + body + goldenBody("other") + "\x00")},
		{"submit, as many request fields as may be",
			submit(goldenMap(append(goldenFields(), strings.Fields("a 1 b 2 c 3 d 4 e 5 f 6 g 7")...)...) + "\x00")},
		{"submit, bytes behind the struct", submit(fields + "\x00behind")},
		{"submit, the largest body", submit(fields + goldenBody(string(goldenPattern(48_000))) + "\x00")},
		{"submit, a body too large", submit(fields + goldenBody(string(goldenPattern(48_001))) + "\x00")},
		{"submit, sequence number in use", submit(fields+"\x00") + submit(fields+"\x00")},
		{"submit, bad fields behind a sequence number in use", submit(fields+"\x00") + submit("\x00")},
		{"submit, no arguments", submit("\x00")},
		{"submit, empty map without types", submit("\x0d\x00\x01\x00\x00\x00\x00\x00\x00\x00")},
		{"submit as oneway", goldenFrame(goldenMessage(4, "submit", 1, fields+"\x00"))},
		{"heartbeat as oneway", goldenFrame(goldenMessage(4, "heartbeat", 1, "\x00"))},
		{"several messages", submit(fields+"\x00") + goldenFrame(goldenMessage(1, "heartbeat", 2, "\x00")) +
			goldenSubmit(3, "x", goldenFields("ref", "0000000000000003")...) +
			goldenFrame(goldenMessage(1, "nothing", 4, "\x00"))},
		{"a message behind bad fields", submit("\x00") + goldenSubmit(2, "", goldenFields()...)},
	}
}

// goldenUnknownMethods returns calls and oneway messages of unknown methods.
func goldenUnknownMethods() []goldenCase {
	names := []string{"", "Submit", "submit2", "fetch", strings.Repeat("n", 500), "\x00\xff\"\n"}
	cases := make([]goldenCase, 0, 2*len(names))
	for _, name := range names {
		for _, kind := range []byte{1, 4} {
			cases = append(cases, goldenCase{fmt.Sprintf("unknown method %.20q, type %d", name, kind),
				goldenFrame(goldenMessage(kind, name, 0x01020304, "\x00"))})
		}
	}
	return cases
}

// goldenSequenceNumbers returns the same request with several sequence numbers.
func goldenSequenceNumbers() []goldenCase {
	numbers := []int32{0, 1, -1, math.MaxInt32, math.MinInt32}
	cases := make([]goldenCase, 0, len(numbers))
	for _, seqid := range numbers {
		cases = append(cases, goldenCase{fmt.Sprintf("submit, seqid %d", seqid),
			goldenSubmit(seqid, "", goldenFields()...)})
	}
	return cases
}

// goldenRevokes returns forms of revoke, each sent after the requests 1 and 2.
func goldenRevokes() []goldenCase {
	forms := []goldenCase{
		{"of an open request", "\x08\x00\x01" + goldenInt32(1) + "\x00"},
		{"of a request that is not open", "\x08\x00\x01" + goldenInt32(99) + "\x00"},
		{"of the negative number", "\x08\x00\x01" + goldenInt32(-1) + "\x00"},
		{"with unknown fields", goldenUnknown + "\x08\x00\x01" + goldenInt32(2) + goldenUnknown + "\x00"},
		{"with the number twice", "\x08\x00\x01" + goldenInt32(1) + "\x08\x00\x01" + goldenInt32(2) + "\x00"},
		{"with the number as an i64", "\x0a\x00\x01\x00\x00\x00\x00" + goldenInt32(1) + "\x00"},
		{"with the number as another field", "\x08\x00\x02" + goldenInt32(1) + "\x00"},
		{"without arguments", "\x00"},
		{"with bytes behind the struct", "\x08\x00\x01" + goldenInt32(1) + "\x00behind"},
		{"without the end of the struct", "\x08\x00\x01" + goldenInt32(1)},
		{"cut short", "\x08\x00\x01\x00"},
		{"of an unknown type", "\x01\x00\x01" + goldenInt32(1) + "\x00"},
	}
	cases := make([]goldenCase, 0, 2*len(forms))
	for _, c := range forms {
		for _, kind := range []byte{4, 1} {
			cases = append(cases, goldenCase{fmt.Sprintf("revoke %s, type %d", c.name, kind),
				goldenSubmit(1, "", goldenFields()...) + goldenSubmit(2, "", goldenFields()...) +
					goldenFrame(goldenMessage(kind, "revoke", 3, c.stream)) +
					goldenFrame(goldenMessage(1, "heartbeat", 4, "\x00"))})
		}
	}
	return cases
}

// goldenFieldValues returns requests in which one field has a valid or an invalid value. The value "-" leaves the field
// out.
func goldenFieldValues() []goldenCase {
	long := strings.Repeat("x", 128)
	var cases []goldenCase
	for _, field := range []struct {
		name   string
		values []string
	}{
		{"service", []string{"-", "", "pages", "Media", "nobody", "media ", long}},
		{"ref",
			[]string{"-", "", "0000000000000000", "ABCDEFabcdef0189", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411",
				"9b1f03aa5c7e2d4g",
				"9b1f03aa5c7e2d4\x00", "+b1f03aa5c7e2d41", long}},
		{"lookup",
			[]string{"-", "", "0000000000000000", "ffffffffffffffff", "FFFFFFFFFFFFFFFF", "xyz", "7f3a9c21e0b4d65 "}},
		{"allow",
			[]string{"-", "", "0", "1", "60000", "60001", "-1", "+5", "05", "1.5", "1e3", "soon",
				"9999999999999999999999"}},
		{"chunk", []string{"-", "", "0", "2147483647", "2147483648", "-1", "+3", "03", "3 ", "three"}},
		{"tag", []string{"-", "", "0", "255", "256", "-1", "07", "x"}},
		{"room",
			[]string{"-", "", "0", "-0", "0.001", "1e9", "1000000001", "NaN", "Inf", "-1", "0x1p4", "1_0",
				"1e400", "big", " 1"}},
		{"known", []string{"-", "", "a", long, long + "x", "a,up=b", "a b", "a=b", "a\x7f", "\xc3\xa9", "a\n"}},
		{"replay", []string{"-", "", "a", long, long + "x", "a,up=b", "a b", "a=b", "a\x00", "!~"}},
	} {
		for _, value := range field.values {
			cases = append(cases, goldenCase{fmt.Sprintf("field %s is %.40q, %d bytes", field.name, value, len(value)),
				goldenSubmit(1, "body", goldenFields(field.name, value)...)})
		}
	}
	return append(cases, goldenCase{"several bad fields: the first check tells",
		goldenSubmit(1, "body", goldenFields("ref", "x", "lookup", "y", "allow", "z", "known", " ", "replay", " ")...)})
}

// goldenBadFrames returns frames and message headers that end the connection. Each is sent once alone, and once after a
// request that is still open.
func goldenBadFrames() []goldenCase {
	heartbeat := goldenFrame(goldenMessage(1, "heartbeat", 2, "\x00"))
	streams := []goldenCase{
		{"frame of no bytes", goldenInt32(0)},
		{"frame of -1 bytes", goldenInt32(-1)},
		{"frame of the least length", goldenInt32(math.MinInt32)},
		{"frame over the limit by a byte", goldenInt32(60_001)},
		{"frame of the greatest length", goldenInt32(math.MaxInt32)},
		{"frame of the limit, cut short", goldenInt32(60_000) + "abc"},
		{"text of another protocol", "GET / HTTP/1.1\r\n\r\n"},
		{"message without a version", goldenFrame(goldenString("submit") + "\x01" + goldenInt32(1) + "\x00")},
		{"version 2", goldenFrame("\x80\x02\x00\x01" + goldenString("heartbeat") + goldenInt32(1) + "\x00")},
		{"bits between version and type",
			goldenFrame("\x80\x01\x01\x01" + goldenString("heartbeat") + goldenInt32(1) + "\x00")},
		{"method name of -1 bytes", goldenFrame("\x80\x01\x00\x01" + goldenInt32(-1) + goldenInt32(1) + "\x00")},
		{"method name longer than the frame",
			goldenFrame("\x80\x01\x00\x01" + goldenInt32(100) + "submit" + goldenInt32(1) + "\x00")},
		{"frame of a byte", goldenFrame("\x80")},
		{"frame of the version alone", goldenFrame("\x80\x01\x00\x01")},
		{"sequence number cut short", goldenFrame("\x80\x01\x00\x01" + goldenString("heartbeat") + "\x00\x00\x01")},
		{"message of type 0", goldenFrame(goldenMessage(0, "heartbeat", 1, "\x00"))},
		{"message of type reply", goldenFrame(goldenMessage(2, "submit", 1, "\x00"))},
		{"message of type exception", goldenFrame(goldenMessage(3, "submit", 1, "\x00"))},
		{"message of type 5", goldenFrame(goldenMessage(5, "revoke", 1, "\x00"))},
		{"message of type 255", goldenFrame(goldenMessage(255, "unknown", 1, "\x00"))},
	}
	cases := make([]goldenCase, 0, 2*len(streams))
	for _, c := range streams {
		cases = append(cases, goldenCase{c.name, c.stream + heartbeat},
			goldenCase{c.name + ", an answer owed", goldenSubmit(1, "", goldenFields()...) + c.stream + heartbeat})
	}
	return cases
}

// goldenBadStructs returns malformed arguments of submit, and unusual ones that are still valid.
func goldenBadStructs() []goldenCase {
	fields := goldenMap(goldenFields()...)
	cases := []goldenCase{
		{"the field map is a string", "\x0b\x00\x01" + goldenString("fields") + "\x00"},
		{"the field map is a list", "\x0f\x00\x01\x0b" + goldenInt32(1) + goldenString("x") + "\x00"},
		{"the body is a map", fields + "\x0d\x00\x02\x0b\x0b" + goldenInt32(0) + "\x00"},
		{"the body is an i32", fields + "\x08\x00\x02" + goldenInt32(5) + "\x00"},
		{"map from i32 to strings",
			"\x0d\x00\x01\x08\x0b" + goldenInt32(1) + goldenInt32(7) + goldenString("x") + "\x00"},
		{"map from strings to bools", "\x0d\x00\x01\x0b\x02" + goldenInt32(1) + goldenString("x") + "\x01\x00"},
		{"empty map from i32 to bools behind a good one", fields + "\x0d\x00\x01\x08\x02" + goldenInt32(0) + "\x00"},
		{"map of -1 entries", "\x0d\x00\x01\x0b\x0b" + goldenInt32(-1) + "\x00"},
		{"map of one entry too many",
			goldenMap(append(goldenFields(), strings.Fields("a 1 b 2 c 3 d 4 e 5 f 6 g 7 h 8")...)...) + "\x00"},
		{"map of more entries than bytes", "\x0d\x00\x01\x0b\x0b" + goldenInt32(15) + "\x00"},
		{"map of the greatest number of entries", "\x0d\x00\x01\x0b\x0b" + goldenInt32(math.MaxInt32) + "\x00"},
		{"map with too many entries of other types",
			"\x0d\x00\x01\x08\x08" + goldenInt32(100) + strings.Repeat("12345678", 100) + "\x00"},
		{"name of a field cut short", "\x0d\x00\x01\x0b\x0b" + goldenInt32(1) + goldenInt32(50) + "service"},
		{"name of a field of -1 bytes",
			"\x0d\x00\x01\x0b\x0b" + goldenInt32(1) + goldenInt32(-1) + "\x00\x00\x00\x00\x00"},
		{"body of -1 bytes", fields + "\x0b\x00\x02" + goldenInt32(-1) + "\x00"},
		{"body longer than the frame", fields + "\x0b\x00\x02" + goldenInt32(100) + "short\x00"},
		{"unknown field of -1 bytes", fields + "\x0b\x00\x09" + goldenInt32(-1) + "\x00"},
		{"list of -1 elements", fields + "\x0f\x00\x09\x08" + goldenInt32(-1) + "\x00"},
		{"list of more elements than bytes", fields + "\x0f\x00\x09\x02" + goldenInt32(100) + "\x01\x00"},
		{"list of the greatest number of elements",
			fields + "\x0f\x00\x09\x02" + goldenInt32(math.MaxInt32) + "\x01\x00"},
		{"list of an unknown type", fields + "\x0f\x00\x09\x05" + goldenInt32(1) + "\x01\x00"},
		{"empty list of an unknown type", fields + "\x0f\x00\x09\x05" + goldenInt32(0) + "\x00"},
		{"set of strings",
			fields + "\x0e\x00\x09\x0b" + goldenInt32(2) + goldenString("a") + goldenString("") + "\x00"},
		{"map with values of an unknown type",
			fields + "\x0d\x00\x09\x0b\x11" + goldenInt32(1) + goldenString("a") + "\x01\x00"},
		{"no end of the struct", fields},
		{"no end of a nested struct", fields + "\x0c\x00\x09\x00"},
	}
	return goldenSubmitsWithArguments(cases)
}

// goldenNesting returns arguments of submit with fields of undefined types, and with values nested up to and beyond the
// limit.
func goldenNesting() []goldenCase {
	fields := goldenMap(goldenFields()...)
	kinds := []byte{1, 5, 7, 9, 16, 17, 255}
	depths := []int{1, 6, 7, 8, 9, 10, 200}
	cases := make([]goldenCase, 0, len(kinds)+3*len(depths))
	for _, kind := range kinds {
		cases = append(cases, goldenCase{fmt.Sprintf("field of type %d", kind),
			fields + string([]byte{kind}) + "\x00\x09\x00\x00\x00"})
	}
	for _, depth := range depths {
		structs := strings.Repeat("\x0c\x00\x01", depth) + strings.Repeat("\x00", depth) + "\x00"
		lists := strings.Repeat("\x0f"+goldenInt32(1), depth) + "\x02" + goldenInt32(1) + "\x01"
		maps := strings.Repeat("\x02\x0d"+goldenInt32(1)+"\x01", depth) + "\x02\x02" + goldenInt32(1) + "\x01\x01"
		cases = append(cases,
			goldenCase{fmt.Sprintf("structs nested %d deep", depth), fields + "\x0c\x00\x09" + structs + "\x00"},
			goldenCase{fmt.Sprintf("lists nested %d deep", depth), fields + "\x0f\x00\x09" + lists + "\x00"},
			goldenCase{fmt.Sprintf("maps nested %d deep", depth), fields + "\x0d\x00\x09" + maps + "\x00"})
	}
	return goldenSubmitsWithArguments(cases)
}

// goldenSubmitsWithArguments replaces the arguments in each case by a submit with these arguments and a heartbeat after
// it.
func goldenSubmitsWithArguments(cases []goldenCase) []goldenCase {
	heartbeat := goldenFrame(goldenMessage(1, "heartbeat", 2, "\x00"))
	for i := range cases {
		cases[i].name = "submit, " + cases[i].name
		cases[i].stream = goldenFrame(goldenMessage(1, "submit", 1, cases[i].stream)) + heartbeat
	}
	return cases
}

// goldenTruncations returns messages truncated at each byte, in frames of the truncated length.
func goldenTruncations() []goldenCase {
	var cases []goldenCase
	small := goldenMap(goldenFields("chunk", "-", "tag", "-", "room", "-", "known", "-", "replay", "-")...)
	for _, c := range []goldenCase{
		{"submit", goldenMessage(1, "submit", 1, small+goldenBody("body")+"\x00")},
		{"revoke", goldenMessage(4, "revoke", 1, "\x08\x00\x01"+goldenInt32(1)+"\x00")},
		{"submit of unknown fields", goldenMessage(1, "submit", 1, goldenUnknown+"\x00")},
		{"heartbeat", goldenMessage(1, "heartbeat", 1, "\x02\x00\x01\x00\x00")},
	} {
		for n := 1; n < len(c.stream); n++ {
			cases = append(cases, goldenCase{fmt.Sprintf("%s cut to %d bytes", c.name, n), goldenFrame(c.stream[:n])})
		}
	}
	return cases
}

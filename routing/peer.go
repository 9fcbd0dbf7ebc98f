package routing

import "encoding/binary"

// Kinds of peer messages.
const (
	locationQuery = 1 // who holds this object part?
	locationReply = 2 // that host; 0: nobody here
)

const (
	locationMessageVersion = 1
	locationMessageLen     = 24
)

// locationMessage is what routers say to each other: version, kind, zone, part, object, host.
type locationMessage struct {
	kind   byte
	zone   int
	key    objectKey
	holder Host
}

func (m locationMessage) encode() []byte {
	b := binary.BigEndian.AppendUint16([]byte{locationMessageVersion, m.kind}, uint16(m.zone))
	b = binary.BigEndian.AppendUint32(b, uint32(m.key.part))
	b = binary.BigEndian.AppendUint64(b, m.key.object)
	return binary.BigEndian.AppendUint64(b, uint64(m.holder))
}

func decodeLocationMessage(b []byte) (m locationMessage, ok bool) {
	if len(b) != locationMessageLen || b[0] != locationMessageVersion || (b[1] != locationQuery && b[1] != locationReply) {
		return m, false
	}
	m.kind, m.zone = b[1], int(binary.BigEndian.Uint16(b[2:]))
	m.key = objectKey{binary.BigEndian.Uint64(b[8:]), int(binary.BigEndian.Uint32(b[4:]))}
	m.holder = Host(binary.BigEndian.Uint64(b[16:]))
	return m, true
}

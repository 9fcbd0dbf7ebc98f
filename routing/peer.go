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
	data := binary.BigEndian.AppendUint16([]byte{locationMessageVersion, m.kind}, uint16(m.zone))
	data = binary.BigEndian.AppendUint32(data, uint32(m.key.part))
	data = binary.BigEndian.AppendUint64(data, m.key.object)
	return binary.BigEndian.AppendUint64(data, uint64(m.holder))
}

func decodeLocationMessage(data []byte) (message locationMessage, ok bool) {
	if len(data) != locationMessageLen || data[0] != locationMessageVersion || (data[1] != locationQuery && data[1] != locationReply) {
		return message, false
	}
	message.kind, message.zone = data[1], int(binary.BigEndian.Uint16(data[2:]))
	message.key = objectKey{binary.BigEndian.Uint64(data[8:]), int(binary.BigEndian.Uint32(data[4:]))}
	message.holder = Host(binary.BigEndian.Uint64(data[16:]))
	return message, true
}

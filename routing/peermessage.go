package routing

import "encoding/binary"

// Kinds of location messages.
const (
	locationQuery = 1 // asks which cache holds a part of an object
	locationReply = 2 // names the cache; holder 0: none in the sender's zone
)

const (
	locationMessageVersion = 1
	locationMessageLen     = 24
)

// locationMessage is a query or a reply about the location of a part of an object, exchanged by directors of
// different zones. The encoding is big-endian: version (1 byte), kind (1), zone (2), part (4), object (8),
// holder (8).
type locationMessage struct {
	kind   byte
	zone   int // zone of the sender
	key    objectKey
	holder Host // cache that holds a copy; 0 in queries
}

func (m locationMessage) encode() []byte {
	data := binary.BigEndian.AppendUint16([]byte{locationMessageVersion, m.kind}, uint16(m.zone))
	data = binary.BigEndian.AppendUint32(data, uint32(m.key.part))
	data = binary.BigEndian.AppendUint64(data, m.key.object)
	return binary.BigEndian.AppendUint64(data, uint64(m.holder))
}

// decodeLocationMessage decodes a message. It returns false if the length, the version or the kind is
// invalid.
func decodeLocationMessage(data []byte) (message locationMessage, ok bool) {
	if len(data) != locationMessageLen || data[0] != locationMessageVersion {
		return message, false
	}
	message.kind = data[1]
	if message.kind != locationQuery && message.kind != locationReply {
		return locationMessage{}, false
	}
	message.zone = int(binary.BigEndian.Uint16(data[2:]))
	message.key.part = int(binary.BigEndian.Uint32(data[4:]))
	message.key.object = binary.BigEndian.Uint64(data[8:])
	message.holder = Host(binary.BigEndian.Uint64(data[16:]))
	return message, true
}

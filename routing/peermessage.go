package routing

import "encoding/binary"

// Kinds of location messages.
const (
	locationQuery = 1 // who holds this part of an object?
	locationReply = 2 // the holder; 0: nobody in this zone
)

const (
	locationMessageVersion = 1
	locationMessageLen     = 24
)

// locationMessage is what directors of different zones tell each other of the location of an object. On the
// wire, in big-endian order: version and kind (a byte each), zone (2 bytes), part (4), object (8), holder
// (8).
type locationMessage struct {
	kind   byte
	zone   int // of the sender
	key    objectKey
	holder Host // 0 in queries
}

func (m locationMessage) encode() []byte {
	data := binary.BigEndian.AppendUint16([]byte{locationMessageVersion, m.kind}, uint16(m.zone))
	data = binary.BigEndian.AppendUint32(data, uint32(m.key.part))
	data = binary.BigEndian.AppendUint64(data, m.key.object)
	return binary.BigEndian.AppendUint64(data, uint64(m.holder))
}

// decodeLocationMessage returns false for what is no message of the known version.
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

package routing

import "encoding/binary"

// Kinds of peer messages.
const (
	peerQuery = 1 // who holds this object part?
	peerReply = 2 // that host; 0: nobody here
)

const (
	peerVersion = 1
	peerLen     = 24
)

// peerMessage is what routers say to each other: version, kind, zone, part, object, host.
type peerMessage struct {
	kind   byte
	zone   int
	key    objectPart
	holder Host
}

func (m peerMessage) encode() []byte {
	b := binary.BigEndian.AppendUint16([]byte{peerVersion, m.kind}, uint16(m.zone))
	b = binary.BigEndian.AppendUint32(b, uint32(m.key.part))
	b = binary.BigEndian.AppendUint64(b, m.key.object)
	return binary.BigEndian.AppendUint64(b, uint64(m.holder))
}

func decodePeer(b []byte) (m peerMessage, ok bool) {
	if len(b) != peerLen || b[0] != peerVersion || (b[1] != peerQuery && b[1] != peerReply) {
		return m, false
	}
	m.kind, m.zone = b[1], int(binary.BigEndian.Uint16(b[2:]))
	m.key = objectPart{binary.BigEndian.Uint64(b[8:]), int(binary.BigEndian.Uint32(b[4:]))}
	m.holder = Host(binary.BigEndian.Uint64(b[16:]))
	return m, true
}

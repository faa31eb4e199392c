package coordination

// PeerMessage is a message between controllers: the sender's status, or a heartbeat that
// it relays. The status is encoded as former versions send it.
type PeerMessage struct {
	Status
	Heartbeat *RelayedHeartbeat `cbor:"Heartbeat,omitempty"` // from storage.SchemaHeartbeatRelays on
}

// PeerReply is the reply to a PeerMessage: to a status or to a relayed heartbeat.
type PeerReply struct {
	StatusReply
	Heartbeat *HeartbeatAnswer `cbor:"Heartbeat,omitempty"`
}

// ReceiveMessage handles a message from another controller and returns the reply.
func (n *Node) ReceiveMessage(message PeerMessage) PeerReply {
	if message.Heartbeat == nil {
		return PeerReply{StatusReply: n.ReceiveStatus(message.Status)}
	}
	answer := n.receiveRelayedHeartbeat(message.Heartbeat)
	return PeerReply{Heartbeat: &answer}
}

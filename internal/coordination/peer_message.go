package coordination

// PeerMessage is what a controller sends to another: its status, or a heartbeat that
// it relays. The status has the form in which former versions send it.
type PeerMessage struct {
	Status
	Heartbeat *RelayedHeartbeat `cbor:"Heartbeat,omitempty"` // from storage.SchemaHeartbeatRelays on
}

// PeerReply answers a PeerMessage in kind.
type PeerReply struct {
	StatusReply
	Heartbeat *HeartbeatAnswer `cbor:"Heartbeat,omitempty"`
}

// ReceiveMessage answers what another controller sends.
func (n *Node) ReceiveMessage(message PeerMessage) PeerReply {
	if message.Heartbeat == nil {
		return PeerReply{StatusReply: n.ReceiveStatus(message.Status)}
	}
	answer := n.receiveRelayedHeartbeat(message.Heartbeat)
	return PeerReply{Heartbeat: &answer}
}

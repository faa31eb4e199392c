// Package transport implements the HTTP and CBOR servers and clients. It encodes and
// decodes messages and contains no scheduling logic.
//
//   - NewServer serves users, workers and health checks; NewOperatorServer serves
//     the operators' status page and the metrics.
//   - Client, CloudClient, WorkerClient and UserClient call the other components
//     over HTTP with limits on connections and timeouts.
//   - PeerClient and ServePeers exchange messages between controllers.
//   - Listen opens listeners and ConnLimiter limits their connections.
package transport

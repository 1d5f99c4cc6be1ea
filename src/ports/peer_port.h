// Port between the core and the streams to other entry instances, and the
// messages on these streams.

#ifndef SRC_PORTS_PEER_PORT_H_
#define SRC_PORTS_PEER_PORT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// Sent to every peer once a second.
struct PeerHeartbeat {
  InstanceId instance;
  DataCentreId data_centre;
  int seat = -1;
  // Identifies one run of the process.
  std::string incarnation;
  bool accepting = false;
  // Revision of each section, in the order of ConfigurationSections().
  std::vector<std::uint64_t> revisions;
};

// A section as read from the table service, sent to a peer whose heartbeat
// shows a lower revision.
struct PeerConfigurationSection {
  std::string section;
  std::uint64_t revision = 0;
  std::string text;
};

// A request was in flight on an endpoint that crashed.
struct PeerSuspect {
  Fingerprint fingerprint{};
  // Endpoints that crashed while running the request, once for each crash.
  std::vector<EndpointId> endpoints;
};

// A suspected request finished without a crash.
struct PeerSuspectCleared {
  Fingerprint fingerprint{};
};

// Replicas of charges that are not yet stored in the table service.
struct PeerChargeReplica {
  // Row key of the batch that contains the charges.
  std::string batch;
  // JSON text of each charge.
  std::vector<std::string> charges;
  // Returned in the acknowledgement.
  std::uint64_t sequence = 0;
};

// Acknowledges that the receiver holds the replica with this sequence number.
struct PeerChargeReplicaAck {
  std::string batch;
  std::uint64_t sequence = 0;
};

// The batch is stored in the table service; its replicas can be dropped.
struct PeerChargeStored {
  std::string batch;
};

// The sender has bound a session to a version.
struct PeerSessionBound {
  AccountId account;
  SessionId session;
  ModelId model;
  VersionId version;
};

// The candidate of a rollout was stopped and gets no new work.
struct PeerCandidateStopped {
  ModelId model;
  VersionId version;
  int generation = 0;
  std::string reason;
};

// Replica of the answer and charge of a call with an idempotency key, sent
// while they cannot be written to the table service.
struct PeerExecutionReplica {
  AccountId account;
  std::string idempotency_key;
  std::string owner_token;
  std::string request_hash;
  bool reserved = false;
  // Record version that the conditional write requires.
  std::uint64_t expected_version = 0;
  // JSON text of the record.
  std::string value;
  // The record is stored and the replica can be dropped; `value` is then empty.
  bool stored = false;
  // Returned in the acknowledgement; 0 if the sender expects none.
  std::uint64_t sequence = 0;
};

// Acknowledges that the receiver holds the replica of this owner token.
struct PeerExecutionReplicaAck {
  std::string owner_token;
  std::uint64_t sequence = 0;
};

using PeerMessage = std::variant<PeerHeartbeat,
                                 PeerConfigurationSection,
                                 PeerSuspect,
                                 PeerSuspectCleared,
                                 PeerChargeReplica,
                                 PeerChargeReplicaAck,
                                 PeerChargeStored,
                                 PeerSessionBound,
                                 PeerCandidateStopped,
                                 PeerExecutionReplica,
                                 PeerExecutionReplicaAck>;

struct PeerReceived {
  InstanceId from;
  PeerMessage message;
};

struct PeerUp {
  InstanceId instance;
};

struct PeerDown {
  InstanceId instance;
};

struct PeerAddress {
  InstanceId instance;
  // IP address and port.
  std::string address;
};

// Methods are called by the core thread and do not block. Messages to a peer
// that is down or whose queue is full are dropped, so the protocol must
// tolerate the loss of any message.
class PeerPort {
 public:
  virtual ~PeerPort() = default;
  virtual void Send(const InstanceId& to, PeerMessage message) = 0;
  virtual void Broadcast(PeerMessage message) = 0;
  // Replaces the set of peers to connect to.
  virtual void SetPeers(std::vector<PeerAddress> peers) = 0;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_PEER_PORT_H_

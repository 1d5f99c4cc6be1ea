// Port between the core and the streams to the other entry instances, and the
// messages on them.

#ifndef SRC_PORTS_PEER_PORT_H_
#define SRC_PORTS_PEER_PORT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// Sent to every peer each second.
struct PeerHeartbeat {
  InstanceId instance;
  DataCentreId data_centre;
  int seat = -1;
  // Identifies one life of the process.
  std::string incarnation;
  bool accepting = false;
  // Revision of each section, in the order of ConfigurationSections().
  std::vector<std::uint64_t> revisions;
};

// One section as it was read from the table service. Sent to a peer whose
// heartbeat shows a lower revision.
struct PeerConfigurationSection {
  std::string section;
  std::uint64_t revision = 0;
  std::string text;
};

// A request was in flight on an endpoint that crashed.
struct PeerSuspect {
  Fingerprint fingerprint{};
  // Endpoints that crashed while running it.
  std::vector<EndpointId> endpoints;
};

// A suspected request finished without a crash.
struct PeerSuspectCleared {
  Fingerprint fingerprint{};
};

// Copies of charges that are not yet in the table service.
struct PeerChargeReplica {
  // Row key of the batch to which the charges are bound.
  std::string batch;
  // JSON text of each charge.
  std::vector<std::string> charges;
  // True if the owner waits for a PeerChargeStored of the same batch.
  std::uint64_t sequence = 0;
};

// The receiver has kept the replica of that sequence.
struct PeerChargeKept {
  std::string batch;
  std::uint64_t sequence = 0;
};

// The batch is in the table service; replicas can be dropped.
struct PeerChargeStored {
  std::string batch;
};

// A session was bound to a version by this instance.
struct PeerSessionBound {
  AccountId account;
  SessionId session;
  ModelId model;
  VersionId version;
};

// The candidate of a rollout gets no new work.
struct PeerCandidateStopped {
  ModelId model;
  VersionId version;
  int generation = 0;
  std::string reason;
};

// Copy of the answer and charge of a call with an idempotency key, sent while
// the table service does not take them.
struct PeerExecutionReplica {
  AccountId account;
  std::string idempotency_key;
  std::string owner_token;
  std::string request_hash;
  bool reserved = false;
  // Version of the record on which the write is conditional.
  std::uint64_t expected_version = 0;
  // JSON text of the record.
  std::string value;
  // True once the record is stored and the copy can be dropped; the value is
  // then empty.
  bool stored = false;
};

using PeerMessage = std::variant<PeerHeartbeat,
                                 PeerConfigurationSection,
                                 PeerSuspect,
                                 PeerSuspectCleared,
                                 PeerChargeReplica,
                                 PeerChargeKept,
                                 PeerChargeStored,
                                 PeerSessionBound,
                                 PeerCandidateStopped,
                                 PeerExecutionReplica>;

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
  // IP number and port.
  std::string address;
};

// Methods are called by the core thread and return at once. Messages to a peer
// that is down, or whose queue is full, are dropped; receivers must not rely on
// any single message.
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

// The platform's list of live and leaving endpoints and entry instances.

#ifndef SRC_PORTS_INSTANCE_LIST_H_
#define SRC_PORTS_INSTANCE_LIST_H_

#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

enum class EndpointKind { kModelEngine, kPlainService };

struct EndpointRecord {
  EndpointId endpoint;
  // IP number and port.
  std::string address;
  DataCentreId data_centre;
  EndpointKind kind = EndpointKind::kModelEngine;
  // For model engines.
  ModelId model;
  VersionId version;
  // For plain services.
  ServiceId service;
  bool leaving = false;
};

struct EntryInstanceRecord {
  InstanceId instance;
  // IP number and port of its peer listener.
  std::string peer_address;
  DataCentreId data_centre;
  bool leaving = false;

  friend bool operator==(const EntryInstanceRecord& a,
                         const EntryInstanceRecord& b) {
    return a.instance == b.instance && a.peer_address == b.peer_address &&
           a.data_centre == b.data_centre && a.leaving == b.leaving;
  }
};

// One complete reading of the list. Sent to the core after each poll.
struct InstanceListRead {
  bool ok = false;
  std::vector<EndpointRecord> endpoints;
  std::vector<EntryInstanceRecord> instances;
  std::string detail;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_INSTANCE_LIST_H_

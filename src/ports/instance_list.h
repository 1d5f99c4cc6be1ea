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
  // IP address and port.
  std::string address;
  DataCentreId data_centre;
  EndpointKind kind = EndpointKind::kModelEngine;
  // Set for model engines only.
  ModelId model;
  VersionId version;
  // Set for plain services only.
  ServiceId service;
  bool leaving = false;
};

struct EntryInstanceRecord {
  InstanceId instance;
  // IP address and port of the peer listener.
  std::string peer_address;
  DataCentreId data_centre;
  bool leaving = false;

  friend bool operator==(const EntryInstanceRecord& a,
                         const EntryInstanceRecord& b) {
    return a.instance == b.instance && a.peer_address == b.peer_address &&
           a.data_centre == b.data_centre && a.leaving == b.leaving;
  }
};

// Result of one poll of the complete list.
struct InstanceListRead {
  bool ok = false;
  std::vector<EndpointRecord> endpoints;
  std::vector<EntryInstanceRecord> instances;
  // Why the list could not be read, or which entries were ignored.
  std::string detail;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_INSTANCE_LIST_H_

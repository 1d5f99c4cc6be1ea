// Decodes an instance list in the JSON format of Prometheus HTTP service
// discovery.

#ifndef SRC_BACKING_SERVICES_INSTANCE_LIST_FORMAT_H_
#define SRC_BACKING_SERVICES_INSTANCE_LIST_FORMAT_H_

#include <string>

#include "src/ports/instance_list.h"

namespace filbertshift {

// Parses `[{"targets":["ip:port"],"labels":{...}}]` with the labels id,
// data_centre, role (model_engine, plain_service, entry), model, version,
// service and state (live, leaving). Groups with another role are skipped.
// Returns ok == false if the text does not have this form or a group lacks a
// label of its role, because a partial list would look like a loss of
// endpoints.
InstanceListRead DecodeInstanceList(const std::string& text);

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_INSTANCE_LIST_FORMAT_H_

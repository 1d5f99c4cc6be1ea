// The instance list as Prometheus HTTP service discovery JSON.

#ifndef SRC_BACKING_SERVICES_INSTANCE_LIST_FORMAT_H_
#define SRC_BACKING_SERVICES_INSTANCE_LIST_FORMAT_H_

#include <string>

#include "src/ports/instance_list.h"

namespace filbertshift {

// Parses `[{"targets":["ip:port"],"labels":{...}}]` with the labels id,
// data_centre, role (model_engine, plain_service, entry), model, version,
// service and state (live, leaving). A group with another role is left out. A
// text that is not of this form, or a group that lacks a label of its role,
// gives ok == false: a half-read list would look like a loss of endpoints.
InstanceListRead DecodeInstanceList(const std::string& text);

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_INSTANCE_LIST_FORMAT_H_

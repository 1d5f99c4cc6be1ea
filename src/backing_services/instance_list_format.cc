#include "src/backing_services/instance_list_format.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace filbertshift {
namespace {

using Json = nlohmann::json;

// Throws if the label is missing, not a string or empty.
std::string GetLabel(const Json& labels, const char* name) {
  auto value = labels.at(name).get<std::string>();
  if (value.empty()) {
    throw std::invalid_argument(std::string("empty label ") + name);
  }
  return value;
}

bool IsLeaving(const Json& labels) {
  const std::string state = GetLabel(labels, "state");
  if (state != "live" && state != "leaving") {
    throw std::invalid_argument("unknown state " + state);
  }
  return state == "leaving";
}

// Returns the "ip:port" of a group, which must have exactly one target.
std::string GetTarget(const Json& group) {
  const Json& targets = group.at("targets");
  if (!targets.is_array() || targets.size() != 1) {
    throw std::invalid_argument("a group must have exactly one target");
  }
  return targets.at(0).get<std::string>();
}

EndpointRecord DecodeEndpoint(const Json& group,
                              const Json& labels,
                              const std::string& role) {
  EndpointRecord record;
  record.endpoint = EndpointId(GetLabel(labels, "id"));
  record.address = GetTarget(group);
  record.data_centre = DataCentreId(GetLabel(labels, "data_centre"));
  record.leaving = IsLeaving(labels);
  if (role == "model_engine") {
    record.kind = EndpointKind::kModelEngine;
    record.model = ModelId(GetLabel(labels, "model"));
    record.version = VersionId(GetLabel(labels, "version"));
  } else {
    record.kind = EndpointKind::kPlainService;
    record.service = ServiceId(GetLabel(labels, "service"));
  }
  return record;
}

EntryInstanceRecord DecodeInstance(const Json& group, const Json& labels) {
  EntryInstanceRecord record;
  record.instance = InstanceId(GetLabel(labels, "id"));
  record.peer_address = GetTarget(group);
  record.data_centre = DataCentreId(GetLabel(labels, "data_centre"));
  record.leaving = IsLeaving(labels);
  return record;
}

void DecodeGroup(const Json& group, InstanceListRead* list) {
  const Json& labels = group.at("labels");
  const std::string role = GetLabel(labels, "role");
  if (role == "model_engine" || role == "plain_service") {
    list->endpoints.push_back(DecodeEndpoint(group, labels, role));
  } else if (role == "entry") {
    list->instances.push_back(DecodeInstance(group, labels));
  }
}

}  // namespace

InstanceListRead DecodeInstanceList(const std::string& text) {
  InstanceListRead list;
  try {
    const Json groups = Json::parse(text);
    if (!groups.is_array()) {
      throw std::invalid_argument("not an array");
    }
    for (const Json& group : groups) {
      DecodeGroup(group, &list);
    }
    list.ok = true;
  } catch (const std::exception& error) {
    list = InstanceListRead();
    list.detail = std::string("malformed instance list: ") + error.what();
  }
  return list;
}

}  // namespace filbertshift

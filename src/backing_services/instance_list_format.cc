#include "src/backing_services/instance_list_format.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "src/common/document_reader.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxFaultBytes = 200;
constexpr std::size_t kMaxLabelBytes = 256;
constexpr std::string_view kLineBreaks("\r\n\0", 3);

// Throws if the label is missing, not a string, empty or too long, or has a
// line break.
std::string GetLabel(const Json& labels, const char* name) {
  auto value = labels.at(name).get<std::string>();
  if (value.empty() || value.size() > kMaxLabelBytes ||
      value.find_first_of(kLineBreaks) != std::string::npos) {
    throw std::invalid_argument(std::string("no usable label ") + name);
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
  auto target = targets.at(0).get<std::string>();
  if (ParseTcpAddress(target).port() == 0) {
    throw std::invalid_argument("port 0");
  }
  return target;
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
    const Json groups = ParseJson(text);
    if (!groups.is_array()) {
      throw std::invalid_argument("not an array");
    }
    std::size_t ignored = 0;
    std::string first_fault;
    for (const Json& group : groups) {
      try {
        DecodeGroup(group, &list);
      } catch (const std::exception& error) {
        first_fault = ignored == 0 ? error.what() : first_fault;
        ++ignored;
      }
    }
    // A list of which nothing can be read is no list: it would take all
    // endpoints out of use.
    if (ignored > 0 && ignored == groups.size()) {
      throw std::invalid_argument(first_fault);
    }
    if (ignored > 0) {
      list.detail =
          fmt::format("{} of {} entries ignored; the first: {}", ignored,
                      groups.size(), first_fault.substr(0, kMaxFaultBytes));
    }
    list.ok = true;
  } catch (const std::exception& error) {
    list = InstanceListRead();
    list.detail = std::string("malformed instance list: ") +
                  std::string(error.what()).substr(0, kMaxFaultBytes);
  }
  return list;
}

}  // namespace filbertshift

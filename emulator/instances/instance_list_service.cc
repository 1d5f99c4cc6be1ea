#include "emulator/instances/instance_list_service.h"

#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace filbertshift::emulator {

namespace {

// Returns a description of the first error, or an empty string if the list is
// valid.
std::string FindListError(const Json& list) {
  if (!list.is_array()) {
    return "the list is not a JSON array";
  }
  for (const Json& group : list) {
    if (!group.is_object() || !group.contains("targets") ||
        !group["targets"].is_array() || !group.contains("labels") ||
        !group["labels"].is_object()) {
      return "an entry needs the array targets and the object labels";
    }
    for (const Json& label : group["labels"]) {
      if (!label.is_string()) {
        return "labels must be strings";
      }
    }
  }
  return std::string();
}

}  // namespace

InstanceListService::InstanceListService(const ServicePorts& ports,
                                         const Json& initial)
    : FaultyService(ports) {
  const std::string error = FindListError(initial);
  if (!error.empty()) {
    throw std::invalid_argument(error);
  }
  list_.Replace(initial, std::chrono::steady_clock::now());
}

InstanceListService::~InstanceListService() {
  Stop();
}

bool InstanceListService::IsWrite(const HttpRequest&) const {
  return false;
}

HttpResponse InstanceListService::Execute(const HttpRequest& request) {
  if (request.method != "GET" || request.path != "/instances") {
    return ErrorResponse(404, "unknown path");
  }
  std::lock_guard<std::mutex> lock(mutex_);
  return JsonResponse(200, list_.VisibleAt(std::chrono::steady_clock::now()));
}

std::function<void()> InstanceListService::ReadControl(ControlReader* control) {
  std::optional<std::chrono::milliseconds> lag;
  std::optional<bool> stale;
  std::chrono::milliseconds lag_value{0};
  if (control->ReadDuration("lag_ms", &lag_value)) {
    lag = lag_value;
  }
  bool stale_value = false;
  if (control->Read("stale", &stale_value)) {
    stale = stale_value;
  }
  return [this, lag, stale] {
    std::lock_guard<std::mutex> lock(mutex_);
    if (lag) {
      list_.set_lag(*lag);
    }
    if (stale) {
      list_.set_stale(*stale, std::chrono::steady_clock::now());
    }
  };
}

HttpResponse InstanceListService::Inspect(const HttpRequest& request) {
  if (request.path != "/_control/instances") {
    return ErrorResponse(404, "unknown path");
  }
  if (request.method == "PUT") {
    return Replace(request);
  }
  std::lock_guard<std::mutex> lock(mutex_);
  return JsonResponse(200, list_.newest());
}

HttpResponse InstanceListService::Replace(const HttpRequest& request) {
  Json list = Json::parse(request.body, nullptr, false);
  const std::string error = FindListError(list);
  if (!error.empty()) {
    return ErrorResponse(400, error);
  }
  std::lock_guard<std::mutex> lock(mutex_);
  list_.Replace(std::move(list), std::chrono::steady_clock::now());
  return JsonResponse(200, Json{{"ok", true}});
}

}  // namespace filbertshift::emulator

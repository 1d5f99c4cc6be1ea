#include "emulator/objects/object_service.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace filbertshift::emulator {

namespace {

HttpResponse XmlError(int status, const char* code, const char* message) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/xml"});
  response.body = fmt::format(
      "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n"
      "<Error><Code>{}</Code><Message>{}</Message></Error>\n",
      code, message);
  return response;
}

// Equal for equal content. The algorithm is not part of the interface.
std::string EntityTag(const std::string& bytes) {
  return fmt::format("\"{:016x}\"", XXH3_64bits(bytes.data(), bytes.size()));
}

// Returns true for "/bucket/key" with a non-empty bucket and key.
bool IsObjectPath(const std::string& path) {
  const std::size_t slash = path.find('/', 1);
  return slash != std::string::npos && slash > 1 && slash + 1 < path.size();
}

}  // namespace

ObjectService::ObjectService(const ServicePorts& ports)
    : FaultyService(ports) {}

ObjectService::~ObjectService() {
  Stop();
}

bool ObjectService::IsWrite(const HttpRequest& request) const {
  return request.method == "PUT" || request.method == "DELETE";
}

HttpResponse ObjectService::UnavailableResponse() const {
  return XmlError(503, "ServiceUnavailable", "the service is unavailable");
}

HttpResponse ObjectService::ThrottledResponse() const {
  return XmlError(503, "SlowDown", "reduce your request rate");
}

HttpResponse ObjectService::Execute(const HttpRequest& request) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!IsObjectPath(request.path)) {
    return XmlError(400, "InvalidURI", "expected /bucket/key");
  }
  if (request.method == "PUT") {
    return Put(request);
  }
  if (request.method == "GET" || request.method == "HEAD") {
    return Get(request);
  }
  if (request.method == "DELETE") {
    return Remove(request);
  }
  return XmlError(405, "MethodNotAllowed", "the method is not supported");
}

HttpResponse ObjectService::Put(const HttpRequest& request) {
  ++writes_;
  objects_[request.path] = request.body;
  history_.push_back(
      {WallMilliseconds(), "PUT", request.path, request.body.size()});
  HttpResponse response;
  response.headers.push_back({"ETag", EntityTag(request.body)});
  return response;
}

HttpResponse ObjectService::Get(const HttpRequest& request) {
  ++reads_;
  const auto found = objects_.find(request.path);
  if (found == objects_.end()) {
    return XmlError(404, "NoSuchKey", "the key does not exist");
  }
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/octet-stream"});
  response.headers.push_back({"ETag", EntityTag(found->second)});
  // libmicrohttpd omits the body of a response to HEAD.
  response.body = found->second;
  return response;
}

HttpResponse ObjectService::Remove(const HttpRequest& request) {
  ++writes_;
  if (objects_.erase(request.path) > 0) {
    history_.push_back({WallMilliseconds(), "DELETE", request.path, 0});
  }
  HttpResponse response;
  response.status = 204;
  return response;
}

HttpResponse ObjectService::Inspect(const HttpRequest& request) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (request.path == "/_history") {
    return JsonResponse(200, HistoryJson());
  }
  if (request.path == "/_dump") {
    return JsonResponse(200, DumpJson(request.QueryValue("prefix")));
  }
  if (request.path == "/_stats") {
    return JsonResponse(200, Json{{"reads", reads_},
                                  {"writes", writes_},
                                  {"objects", objects_.size()}});
  }
  return ErrorResponse(404, "unknown path");
}

Json ObjectService::HistoryJson() const {
  Json changes = Json::array();
  for (const Change& change : history_) {
    changes.push_back({{"time_ms", change.time_ms},
                       {"method", change.method},
                       {"path", change.path},
                       {"bytes", change.bytes}});
  }
  return changes;
}

Json ObjectService::DumpJson(const std::string& prefix) const {
  Json sizes = Json::object();
  for (auto entry = objects_.lower_bound(prefix);
       entry != objects_.end() &&
       entry->first.compare(0, prefix.size(), prefix) == 0;
       ++entry) {
    sizes[entry->first] = entry->second.size();
  }
  return sizes;
}

}  // namespace filbertshift::emulator

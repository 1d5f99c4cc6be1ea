// Emulates an object store with S3 path-style addressing, in memory.

#ifndef EMULATOR_OBJECTS_OBJECT_SERVICE_H_
#define EMULATOR_OBJECTS_OBJECT_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

// Supports PUT, GET, HEAD and DELETE on /bucket/key; buckets exist implicitly.
// Inspection: /_history (all writes), /_dump?prefix= (object sizes), /_stats.
class ObjectService : public FaultyService {
 public:
  explicit ObjectService(const ServicePorts& ports);
  ~ObjectService() override;

 protected:
  HttpResponse Execute(const HttpRequest& request) override;
  bool IsWrite(const HttpRequest& request) const override;
  HttpResponse UnavailableResponse() const override;
  HttpResponse ThrottledResponse() const override;
  HttpResponse Inspect(const HttpRequest& request) override;

 private:
  struct Change {
    std::int64_t time_ms = 0;
    std::string method;
    std::string path;
    std::size_t bytes = 0;
  };

  HttpResponse Put(const HttpRequest& request);
  HttpResponse Get(const HttpRequest& request);
  HttpResponse Remove(const HttpRequest& request);
  Json HistoryJson() const;
  Json DumpJson(const std::string& prefix) const;

  std::mutex mutex_;
  // Contents by path, "/bucket/key".
  std::map<std::string, std::string> objects_;
  std::deque<Change> history_;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_OBJECTS_OBJECT_SERVICE_H_

// Log of the requests executed by an emulated plain service, with a count for
// each idempotency key.

#ifndef EMULATOR_SERVICE_EXECUTION_LOG_H_
#define EMULATOR_SERVICE_EXECUTION_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "emulator/http/http_message.h"

namespace filbertshift::emulator {

struct Execution {
  std::uint64_t sequence = 0;
  std::int64_t time_ms = 0;
  // The Idempotency-Key header, or "body:" and the hash of the body if absent.
  std::string key;
  // Number of executions with this key so far, including this one.
  int count = 0;
  std::string request_id;
  std::string method;
  std::string path;
  std::string body;
};

// Not thread-safe.
class ExecutionLog {
 public:
  // Records an execution. Repeated keys are counted, not deduplicated.
  const Execution& Execute(const HttpRequest& request, std::int64_t now_ms);

  // Returns {"executions":[...],"counts":{key:count}}, with the executions
  // whose sequence number is greater than `after`.
  Json ToJson(std::uint64_t after) const;

 private:
  std::deque<Execution> executions_;
  std::map<std::string, int> counts_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_SERVICE_EXECUTION_LOG_H_

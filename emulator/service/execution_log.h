// The executions of an emulated plain service, counted for each operation.

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
  // The Idempotency-Key, or "body:" and the hash of the body.
  std::string key;
  // Executions with this key so far, this one included.
  int count = 0;
  std::string request_id;
  std::string method;
  std::string path;
  std::string body;
};

// Not thread-safe.
class ExecutionLog {
 public:
  // Never deduplicates: each call is one execution.
  const Execution& Execute(const HttpRequest& request, std::int64_t now_ms);

  // {"executions":[...],"counts":{key:count}}, with the executions after
  // `sequence`.
  Json ToJson(std::uint64_t after) const;

 private:
  std::deque<Execution> executions_;
  std::map<std::string, int> counts_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_SERVICE_EXECUTION_LOG_H_

#include "emulator/service/execution_log.h"

#include "emulator/tokens/tokens.h"

namespace filbertshift::emulator {

const Execution& ExecutionLog::Execute(const HttpRequest& request,
                                       std::int64_t now_ms) {
  Execution execution;
  execution.sequence = executions_.size() + 1;
  execution.time_ms = now_ms;
  execution.key = request.Header("Idempotency-Key");
  if (execution.key.empty()) {
    execution.key = "body:" + TextHash(request.body);
  }
  execution.count = ++counts_[execution.key];
  execution.request_id = request.Header("X-Request-Id");
  execution.method = request.method;
  execution.path = request.path;
  execution.body = request.body;
  executions_.push_back(execution);
  return executions_.back();
}

Json ExecutionLog::ToJson(std::uint64_t after) const {
  Json executions = Json::array();
  for (std::size_t i = after; i < executions_.size(); ++i) {
    const Execution& execution = executions_[i];
    executions.push_back({{"sequence", execution.sequence},
                          {"time_ms", execution.time_ms},
                          {"key", execution.key},
                          {"count", execution.count},
                          {"request_id", execution.request_id},
                          {"method", execution.method},
                          {"path", execution.path},
                          {"body", execution.body}});
  }
  return Json{{"executions", executions}, {"counts", counts_}};
}

}  // namespace filbertshift::emulator

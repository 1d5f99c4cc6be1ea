// Reads what the emulated services recorded, for checks in process tests.

#ifndef TESTS_PROCESS_RECORDS_H_
#define TESTS_PROCESS_RECORDS_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "tests/process/deployment.h"

namespace filbertshift {

// Polls every 20 ms. Returns false if the condition is still false at the
// timeout.
bool WaitUntil(std::chrono::milliseconds timeout,
               const std::function<bool()>& condition);

// Counts executions by idempotency key over all endpoints of the plain service.
std::map<std::string, int> ExecutionCounts(Deployment& deployment);
int ExecutionCount(Deployment& deployment, const std::string& key);

// Returns true if the table service holds the execution record of the key.
bool HasExecutionRecord(Deployment& deployment, const std::string& key);

// Counts the charges in the rows of the table service by the request id that
// was returned to the caller.
std::map<std::string, int> ChargeCounts(Deployment& deployment);
// Counts the charges with the given charge id.
int ChargesWithId(Deployment& deployment, const std::string& charge_id);

// Returns the request id from the response headers, or an empty string.
std::string RequestIdOf(const HttpResult& result);

bool IsSuccess(const HttpResult& result);

}  // namespace filbertshift

#endif  // TESTS_PROCESS_RECORDS_H_

// What the emulated services recorded, for the checks of process tests.

#ifndef TESTS_PROCESS_RECORDS_H_
#define TESTS_PROCESS_RECORDS_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "tests/process/deployment.h"

namespace filbertshift {

// Asks every 20 ms. False if the condition did not become true in time.
bool WaitUntil(std::chrono::milliseconds timeout,
               const std::function<bool()>& condition);

// Executions of each idempotency key at all endpoints of the plain service.
std::map<std::string, int> ExecutionCounts(Deployment& site);
int ExecutionCount(Deployment& site, const std::string& key);

// True once the table service holds the execution record of the key.
bool HasExecutionRecord(Deployment& site, const std::string& key);

// Number of charges in the rows of the table service, by the request id that
// the caller got.
std::map<std::string, int> ChargeCounts(Deployment& site);
// The same for one charge id.
int ChargesWithId(Deployment& site, const std::string& charge_id);

// The request id that the caller got.
std::string RequestIdOf(const HttpResult& result);

bool IsSuccess(const HttpResult& result);

}  // namespace filbertshift

#endif  // TESTS_PROCESS_RECORDS_H_

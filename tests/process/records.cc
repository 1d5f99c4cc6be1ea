#include "tests/process/records.h"

#include <thread>
#include <vector>

namespace filbertshift {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{20};

json RowValue(const json& row) {
  return json::parse(row.at("v").at("S").get<std::string>());
}

// Returns the charges from charge batches, execution records and jobs.
std::vector<json> AllCharges(Deployment& deployment) {
  std::vector<json> charges;
  for (const json& row : deployment.Rows("charges/")) {
    const json value = RowValue(row);
    for (const json& charge : value.at("charges")) {
      charges.push_back(charge);
    }
  }
  for (const char* prefix : {"exec/", "job/"}) {
    for (const json& row : deployment.Rows(prefix)) {
      const json value = RowValue(row);
      if (value.contains("charge") && !value["charge"].is_null()) {
        charges.push_back(value["charge"]);
      }
    }
  }
  return charges;
}

}  // namespace

bool WaitUntil(std::chrono::milliseconds timeout,
               const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::map<std::string, int> ExecutionCounts(Deployment& deployment) {
  std::map<std::string, int> counts;
  for (std::size_t i = 0; i < deployment.service_count(); ++i) {
    const json history = deployment.History(deployment.service(i));
    for (const auto& [key, count] : history.at("counts").items()) {
      counts[key] += count.get<int>();
    }
  }
  return counts;
}

int ExecutionCount(Deployment& deployment, const std::string& key) {
  return ExecutionCounts(deployment)[key];
}

bool HasExecutionRecord(Deployment& deployment, const std::string& key) {
  return !deployment.Rows("exec/museum/" + key).empty();
}

std::map<std::string, int> ChargeCounts(Deployment& deployment) {
  std::map<std::string, int> counts;
  for (const json& charge : AllCharges(deployment)) {
    ++counts[charge.at("request").get<std::string>()];
  }
  return counts;
}

int ChargesWithId(Deployment& deployment, const std::string& charge_id) {
  int count = 0;
  for (const json& charge : AllCharges(deployment)) {
    count += charge.at("id") == charge_id ? 1 : 0;
  }
  return count;
}

std::string RequestIdOf(const HttpResult& result) {
  const auto found = result.headers.find("x-request-id");
  return found == result.headers.end() ? std::string() : found->second;
}

bool IsSuccess(const HttpResult& result) {
  return result.status >= 200 && result.status < 300;
}

}  // namespace filbertshift

#include "src/ledger/job_rows.h"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "src/ledger/row_key.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<JobState, std::string_view>, 4> kStateNames = {{
    {JobState::kQueued, "queued"},
    {JobState::kRunning, "running"},
    {JobState::kDone, "done"},
    {JobState::kFailed, "failed"},
}};

std::string StateName(JobState state) {
  for (const auto& [value, name] : kStateNames) {
    if (value == state) {
      return std::string(name);
    }
  }
  throw std::invalid_argument("unknown job state");
}

JobState ParseState(const std::string& text) {
  for (const auto& [value, name] : kStateNames) {
    if (name == text) {
      return value;
    }
  }
  throw std::invalid_argument("unknown job state " + text);
}

bool IsFinished(JobState state) {
  return state == JobState::kDone || state == JobState::kFailed;
}

}  // namespace

std::string JobKey(const JobId& job) {
  return "job/" + EncodeKeyPart(job.value());
}

std::string RequestObject(const JobId& job) {
  return JobKey(job) + "/request";
}

std::string ResultObject(const JobId& job, std::uint64_t fence) {
  return JobKey(job) + "/result/" + std::to_string(fence);
}

std::string JobRowToJson(const JobRow& row) {
  Json json = {{"job", row.job.value()},
               {"state", StateName(row.state)},
               {"account", row.account.value()},
               {"class", row.quality_class},
               {"owner", row.owner},
               {"fence", row.fence},
               {"claim", row.claim},
               {"renewal", row.renewal},
               {"lease_until", row.lease_until.count()}};
  if (IsFinished(row.state)) {
    AddAnswer(row.answer, row.result, &json);
  }
  if (row.charge) {
    json["charge"] = Json::parse(ChargeToJson(*row.charge));
  }
  return DumpRow(json);
}

JobRow JobRowFromJson(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    JobRow row;
    row.job = JobId(json.at("job").get<std::string>());
    row.state = ParseState(json.at("state").get<std::string>());
    row.account = AccountId(json.at("account").get<std::string>());
    row.quality_class = json.at("class").get<std::string>();
    row.owner = json.at("owner").get<std::string>();
    row.fence = json.at("fence").get<std::uint64_t>();
    row.claim = json.at("claim").get<std::string>();
    row.renewal = json.at("renewal").get<std::uint64_t>();
    row.lease_until =
        std::chrono::milliseconds(json.at("lease_until").get<std::int64_t>());
    if (IsFinished(row.state)) {
      EncodedAnswer encoded = ReadAnswer(json);
      row.answer = std::move(encoded.answer);
      row.result = std::move(encoded.object);
    }
    if (json.contains("charge")) {
      row.charge = ChargeFromJson(json.at("charge").dump());
    }
    return row;
  } catch (const Json::exception& error) {
    throw std::invalid_argument(std::string("invalid job row: ") +
                                error.what());
  }
}

std::string JobRequestToBytes(const JobRequest& request) {
  Json headers = Json::array();
  for (const HttpHeader& header : request.headers) {
    headers.push_back({header.name, header.value});
  }
  const Json json = {
      {"job", request.job.value()},     {"account", request.account.value()},
      {"class", request.quality_class}, {"headers", headers},
      {"target", request.target},       {"body", request.body}};
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
  return std::string(bytes.begin(), bytes.end());
}

JobRequest JobRequestFromBytes(const std::string& bytes) {
  try {
    const Json json = Json::from_msgpack(bytes);
    JobRequest request;
    request.job = JobId(json.at("job").get<std::string>());
    request.account = AccountId(json.at("account").get<std::string>());
    request.quality_class = json.at("class").get<std::string>();
    for (const Json& header : json.at("headers")) {
      request.headers.push_back(
          {header.at(0).get<std::string>(), header.at(1).get<std::string>()});
    }
    request.target = json.at("target").get<std::string>();
    request.body = json.at("body").get<std::string>();
    return request;
  } catch (const Json::exception& error) {
    throw std::invalid_argument(std::string("invalid job request: ") +
                                error.what());
  }
}

TableTransaction MakeJobTransaction(Random& random,
                                    const JobRow& row,
                                    std::uint64_t expected_version) {
  TableTransaction transaction;
  transaction.token = RandomToken(random);
  TableWrite write;
  write.key = JobKey(row.job);
  write.expected_version = expected_version;
  write.value = JobRowToJson(row);
  transaction.writes.push_back(std::move(write));
  return transaction;
}

JobRow FindJobRow(const TableReply& reply) {
  try {
    return reply.rows.empty() ? JobRow()
                              : JobRowFromJson(reply.rows.front().value);
  } catch (const std::invalid_argument&) {
    return JobRow();
  }
}

}  // namespace filbertshift

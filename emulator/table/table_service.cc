#include "emulator/table/table_service.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace filbertshift::emulator {

namespace {

constexpr std::string_view kTargetPrefix = "DynamoDB_20120810.";
constexpr const char* kErrorNamespace = "com.amazonaws.dynamodb.v20120810#";
// The protocol limits the size of a query reply in bytes rather than rows.
constexpr std::size_t kMaxQueryRows = 1000;

HttpResponse ProtocolResponse(int status, const Json& body) {
  HttpResponse response = JsonResponse(status, body);
  response.headers = {{"Content-Type", "application/x-amz-json-1.0"}};
  return response;
}

HttpResponse ProtocolError(int status,
                           const std::string& type,
                           const std::string& message) {
  return ProtocolResponse(
      status, Json{{"__type", kErrorNamespace + type}, {"message", message}});
}

HttpResponse CancelledResponse(const std::vector<bool>& failed) {
  Json reasons = Json::array();
  std::string codes;
  for (const bool condition_failed : failed) {
    const std::string code =
        condition_failed ? "ConditionalCheckFailed" : "None";
    codes += (codes.empty() ? "" : ", ") + code;
    Json reason{{"Code", code}};
    if (condition_failed) {
      reason["Message"] = "The conditional request failed";
    }
    reasons.push_back(reason);
  }
  return ProtocolResponse(
      400, Json{{"__type",
                 std::string(kErrorNamespace) + "TransactionCanceledException"},
                {"Message",
                 "Transaction cancelled, please refer cancellation reasons "
                 "for specific reasons [" +
                     codes + "]"},
                {"CancellationReasons", reasons}});
}

std::string OperationName(const HttpRequest& request) {
  const std::string target = request.Header("X-Amz-Target");
  if (target.compare(0, kTargetPrefix.size(), kTargetPrefix) != 0) {
    return std::string();
  }
  return target.substr(kTargetPrefix.size());
}

}  // namespace

TableService::TableService(const ServicePorts& ports) : FaultyService(ports) {}

TableService::~TableService() {
  Stop();
}

bool TableService::IsWrite(const HttpRequest& request) const {
  return OperationName(request) == "TransactWriteItems";
}

HttpResponse TableService::UnavailableResponse() const {
  return ProtocolError(503, "ServiceUnavailable", "service is unavailable");
}

HttpResponse TableService::ThrottledResponse() const {
  return ProtocolError(400, "ProvisionedThroughputExceededException",
                       "the bound on operations per second is exceeded");
}

HttpResponse TableService::Execute(const HttpRequest& request) {
  const std::string operation = OperationName(request);
  if (request.method != "POST" || request.path != "/" || operation.empty()) {
    return ProtocolError(400, "UnknownOperationException", "not an operation");
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return ProtocolError(400, "SerializationException", "not a JSON object");
  }
  std::lock_guard<std::mutex> lock(mutex_);
  try {
    return ExecuteOperation(operation, body);
  } catch (const TableValidationError& error) {
    return ProtocolError(400, "ValidationException", error.what());
  } catch (const Json::exception& error) {
    return ProtocolError(400, "ValidationException", error.what());
  } catch (const std::logic_error& error) {
    // Thrown by std::stod for an invalid number attribute.
    return ProtocolError(400, "ValidationException", error.what());
  }
}

HttpResponse TableService::ExecuteOperation(const std::string& operation,
                                            const Json& body) {
  if (operation == "GetItem") {
    return GetItem(body);
  }
  if (operation == "BatchGetItem") {
    return BatchGetItem(body);
  }
  if (operation == "TransactGetItems") {
    return TransactGetItems(body);
  }
  if (operation == "TransactWriteItems") {
    return TransactWriteItems(body);
  }
  if (operation == "Query" || operation == "Scan") {
    return Query(body);
  }
  return ProtocolError(400, "UnknownOperationException", operation);
}

HttpResponse TableService::GetItem(const Json& body) {
  ++reads_;
  const TableItem* item = store_.Find(ItemKey(body.at("Key")));
  return ProtocolResponse(
      200, item == nullptr ? Json::object() : Json{{"Item", *item}});
}

HttpResponse TableService::BatchGetItem(const Json& body) {
  Json responses = Json::object();
  for (const auto& [table, request] : body.at("RequestItems").items()) {
    Json& items = responses[table] = Json::array();
    for (const Json& key : request.at("Keys")) {
      ++reads_;
      const TableItem* item = store_.Find(ItemKey(key));
      if (item != nullptr) {
        items.push_back(*item);
      }
    }
  }
  return ProtocolResponse(
      200, Json{{"Responses", responses}, {"UnprocessedKeys", Json::object()}});
}

HttpResponse TableService::TransactGetItems(const Json& body) {
  Json responses = Json::array();
  for (const Json& entry : body.at("TransactItems")) {
    ++reads_;
    const TableItem* item = store_.Find(ItemKey(entry.at("Get").at("Key")));
    responses.push_back(item == nullptr ? Json::object()
                                        : Json{{"Item", *item}});
  }
  return ProtocolResponse(200, Json{{"Responses", responses}});
}

HttpResponse TableService::TransactWriteItems(const Json& body) {
  const TransactionResult result =
      store_.Transact(body, std::chrono::system_clock::now());
  switch (result.outcome) {
    case TransactionOutcome::kApplied:
      ++writes_;
      return ProtocolResponse(200, Json::object());
    case TransactionOutcome::kRepeated:
      return ProtocolResponse(200, Json::object());
    case TransactionOutcome::kTokenMismatch:
      return ProtocolError(400, "IdempotentParameterMismatchException",
                           "the token was used for another transaction");
    case TransactionOutcome::kConditionFailed:
      break;
  }
  ++failed_conditions_;
  return CancelledResponse(result.failed);
}

HttpResponse TableService::Query(const Json& body) {
  ++reads_;
  const std::size_t limit =
      std::min(body.value("Limit", kMaxQueryRows), kMaxQueryRows);
  if (limit == 0) {
    throw TableValidationError("Limit must be at least 1");
  }
  const QueryResult result = store_.Query(ReadKeyRange(body), limit);
  Json reply{{"Items", result.items},
             {"Count", result.items.size()},
             {"ScannedCount", result.items.size()}};
  if (result.more) {
    reply["LastEvaluatedKey"] = {{"pk", result.items.back().at("pk")}};
  }
  return ProtocolResponse(200, reply);
}

HttpResponse TableService::Inspect(const HttpRequest& request) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (request.path == "/_history") {
    const std::string after = request.QueryValue("after");
    return JsonResponse(
        200, HistoryAfter(std::strtoull(after.c_str(), nullptr, 10)));
  }
  if (request.path == "/_dump") {
    return JsonResponse(200, DumpRows(request.QueryValue("prefix")));
  }
  if (request.path == "/_stats") {
    return JsonResponse(200, Json{{"reads", reads_},
                                  {"writes", writes_},
                                  {"failed_conditions", failed_conditions_},
                                  {"rows", store_.size()}});
  }
  return ErrorResponse(404, "unknown path");
}

Json TableService::HistoryAfter(std::uint64_t sequence) const {
  Json entries = Json::array();
  for (std::size_t i = sequence; i < store_.history().size(); ++i) {
    const AppliedWrite& write = store_.history()[i];
    entries.push_back({{"sequence", write.sequence},
                       {"time_ms", write.time_ms},
                       {"token", write.token},
                       {"pk", write.key},
                       {"before", write.before},
                       {"after", write.after}});
  }
  return entries;
}

Json TableService::DumpRows(const std::string& prefix) const {
  const QueryResult result =
      store_.Query({prefix, ""}, std::numeric_limits<std::size_t>::max());
  return Json(result.items);
}

}  // namespace filbertshift::emulator

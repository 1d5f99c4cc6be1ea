#include "src/backing_services/table_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

#include "src/common/document_reader.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

// Maximum number of items that the service evaluates for one page of a scan.
constexpr int kScanPageItems = 1000;
constexpr std::size_t kMaxDetailBytes = 200;

// Errors that the service reports before it applies any write.
constexpr std::array<std::string_view, 9> kErrorsBeforeWrite = {
    "ThrottlingException",    "ProvisionedThroughputExceededException",
    "RequestLimitExceeded",   "ValidationException",
    "SerializationException", "ResourceNotFoundException",
    "AccessDeniedException",  "UnrecognizedClientException",
    "LimitExceededException"};

Json ParseOrNull(const std::string& text) {
  try {
    return ParseJson(text);
  } catch (const DocumentError&) {
    return nullptr;
  }
}

std::string Serialize(const Json& json) {
  try {
    return json.dump();
  } catch (const Json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

Json StringAttribute(const std::string& value) {
  return {{"S", value}};
}

Json NumberAttribute(std::uint64_t value) {
  return {{"N", std::to_string(value)}};
}

Json EncodeKey(const std::string& key) {
  return {{"pk", StringAttribute(key)}};
}

void AddCondition(const TableWrite& write, Json* item) {
  if (write.expected_version == 0) {
    (*item)["ConditionExpression"] = "attribute_not_exists(pk)";
    return;
  }
  (*item)["ConditionExpression"] = "ver = :v";
  (*item)["ExpressionAttributeValues"] = {
      {":v", NumberAttribute(write.expected_version)}};
}

Json EncodeWrite(const std::string& table, const TableWrite& write) {
  Json item = {{"TableName", table}};
  AddCondition(write, &item);
  if (write.check_only) {
    item["Key"] = EncodeKey(write.key);
    return {{"ConditionCheck", item}};
  }
  if (write.remove) {
    item["Key"] = EncodeKey(write.key);
    return {{"Delete", item}};
  }
  item["Item"] = {{"pk", StringAttribute(write.key)},
                  {"ver", NumberAttribute(write.expected_version + 1)},
                  {"v", StringAttribute(write.value)}};
  return {{"Put", item}};
}

std::uint64_t ParseVersion(const std::string& text) {
  std::uint64_t version = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, version);
  if (result.ec != std::errc() || result.ptr != end) {
    throw std::invalid_argument("version is not a whole number");
  }
  return version;
}

// Throws Json::exception or std::logic_error.
TableRow DecodeRow(const Json& item) {
  TableRow row;
  row.key = item.at("pk").at("S").get<std::string>();
  row.version = ParseVersion(item.at("ver").at("N").get<std::string>());
  row.value = item.at("v").at("S").get<std::string>();
  return row;
}

std::string DescribeError(const HttpResult& result) {
  if (!result.complete) {
    return result.detail;
  }
  return "status " + std::to_string(result.status) + ": " +
         result.body.substr(0, kMaxDetailBytes);
}

// Returns the type of an error without its namespace, which in
// "com.amazonaws.dynamodb.v20120810#ValidationException" ends with '#'. Empty
// if the body has no error type.
std::string ErrorType(const Json& body) {
  if (!body.is_object() || !body.contains("__type") ||
      !body["__type"].is_string()) {
    return std::string();
  }
  const auto type = body["__type"].get<std::string>();
  const std::size_t separator = type.rfind('#');
  return separator == std::string::npos ? type : type.substr(separator + 1);
}

TableOutcome OutcomeFromCancellation(const Json& body) {
  if (!body.contains("CancellationReasons") ||
      !body["CancellationReasons"].is_array() ||
      body["CancellationReasons"].empty()) {
    return TableOutcome::kUnknown;
  }
  for (const Json& reason : body["CancellationReasons"]) {
    if (reason.is_object() &&
        reason.value("Code", Json()) == "ConditionalCheckFailed") {
      return TableOutcome::kConflict;
    }
  }
  return TableOutcome::kNotApplied;
}

TableOutcome OutcomeFromRejection(const std::string& text) {
  const Json body = ParseOrNull(text);
  const std::string type = ErrorType(body);
  if (type == "TransactionCanceledException") {
    return OutcomeFromCancellation(body);
  }
  const bool before_write =
      std::find(kErrorsBeforeWrite.begin(), kErrorsBeforeWrite.end(), type) !=
      kErrorsBeforeWrite.end();
  return before_write ? TableOutcome::kNotApplied : TableOutcome::kUnknown;
}

// Derives the outcome from the HTTP result. For kOk, the body must be checked
// as well.
TableOutcome OutcomeFromHttp(const HttpResult& result) {
  if (!result.sent) {
    return TableOutcome::kNotApplied;
  }
  if (!result.complete) {
    return TableOutcome::kUnknown;
  }
  switch (result.status) {
    case 200:
      return TableOutcome::kOk;
    case 400:
      return OutcomeFromRejection(result.body);
    case 429:
    case 503:
      return TableOutcome::kNotApplied;
    default:
      return TableOutcome::kUnknown;
  }
}

void DecodeBatchGetBody(const std::string& table,
                        const Json& body,
                        ReadPage* page) {
  const Json& responses = body.at("Responses");
  if (!responses.is_object()) {
    throw std::invalid_argument("Responses is not an object");
  }
  if (responses.contains(table)) {
    for (const Json& item : responses.at(table)) {
      page->rows.push_back(DecodeRow(item));
    }
  }
  const Json unprocessed = body.value("UnprocessedKeys", Json::object());
  if (unprocessed.contains(table)) {
    for (const Json& key : unprocessed.at(table).at("Keys")) {
      page->unprocessed.push_back(key.at("pk").at("S").get<std::string>());
    }
  }
}

void DecodeScanBody(const Json& body, ReadPage* page) {
  for (const Json& item : body.at("Items")) {
    page->rows.push_back(DecodeRow(item));
  }
  if (body.contains("LastEvaluatedKey") &&
      !body.at("LastEvaluatedKey").empty()) {
    page->last_key =
        body.at("LastEvaluatedKey").at("pk").at("S").get<std::string>();
  }
}

// Runs `decode` on the parsed body. The outcome is kUnknown if the body is
// malformed.
template <class Decode>
ReadPage DecodePage(const HttpResult& result, const Decode& decode) {
  ReadPage page;
  page.outcome = OutcomeFromHttp(result);
  if (page.outcome != TableOutcome::kOk) {
    page.detail = DescribeError(result);
    return page;
  }
  try {
    decode(ParseJson(result.body), &page);
  } catch (const std::exception& error) {
    page = ReadPage();
    page.detail = std::string("malformed reply: ") + error.what();
  }
  return page;
}

}  // namespace

std::string EncodeTransaction(const std::string& table,
                              const TableTransaction& transaction) {
  if (transaction.writes.empty() ||
      transaction.writes.size() > kMaxTransactionWrites) {
    throw std::invalid_argument("a transaction must have 1 to 100 writes");
  }
  Json items = Json::array();
  for (const TableWrite& write : transaction.writes) {
    items.push_back(EncodeWrite(table, write));
  }
  return Serialize(
      {{"ClientRequestToken", transaction.token}, {"TransactItems", items}});
}

std::string EncodeBatchGet(const std::string& table,
                           const std::vector<std::string>& keys) {
  Json list = Json::array();
  for (std::size_t i = 0; i < std::min(keys.size(), kMaxBatchGetKeys); ++i) {
    list.push_back(EncodeKey(keys[i]));
  }
  return Serialize({{"RequestItems",
                     {{table, {{"Keys", list}, {"ConsistentRead", true}}}}}});
}

std::string EncodeScan(const std::string& table,
                       const std::string& prefix,
                       const std::string& after,
                       const std::string& start_key) {
  Json request = {
      {"TableName", table},
      {"ConsistentRead", true},
      {"Limit", kScanPageItems},
      {"FilterExpression", "begins_with(pk, :p) AND pk > :after"},
      {"ExpressionAttributeValues",
       {{":p", StringAttribute(prefix)}, {":after", StringAttribute(after)}}}};
  if (!start_key.empty()) {
    request["ExclusiveStartKey"] = EncodeKey(start_key);
  }
  return Serialize(request);
}

TableReply DecodeTransaction(const HttpResult& result) {
  TableReply reply;
  reply.outcome = OutcomeFromHttp(result);
  if (reply.outcome == TableOutcome::kOk &&
      !ParseOrNull(result.body).is_object()) {
    reply.outcome = TableOutcome::kUnknown;
  }
  if (reply.outcome != TableOutcome::kOk) {
    reply.detail = DescribeError(result);
  }
  return reply;
}

ReadPage DecodeBatchGet(const std::string& table, const HttpResult& result) {
  return DecodePage(result, [&table](const Json& body, ReadPage* page) {
    DecodeBatchGetBody(table, body, page);
  });
}

ReadPage DecodeScan(const HttpResult& result) {
  return DecodePage(result, DecodeScanBody);
}

}  // namespace filbertshift

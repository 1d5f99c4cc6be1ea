#include "src/backing_services/backing_service_requests.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "src/backing_services/table_protocol.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
         c == '~' || c == '/';
}

std::string EncodePath(const std::string& name) {
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char c : name) {
    if (IsUnreserved(c)) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte >> 4]);
    encoded.push_back(kHexDigits[byte & 15]);
  }
  return encoded;
}

HttpRequest MakeTableRequest(const BackingServicesOptions& options,
                             const char* operation,
                             std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.url = "http://" + options.table_address + "/";
  request.headers = {
      std::string("X-Amz-Target: DynamoDB_20120810.") + operation,
      "Content-Type: application/x-amz-json-1.0"};
  request.body = std::move(body);
  return request;
}

HttpRequest MakeObjectRequest(const BackingServicesOptions& options,
                              const char* method,
                              const std::string& name,
                              std::string body) {
  HttpRequest request;
  request.method = method;
  request.url = "http://" + options.object_store_address + "/" +
                EncodePath(options.object_store_bucket) + "/" +
                EncodePath(name);
  request.headers = {"Content-Type: application/octet-stream"};
  request.body = std::move(body);
  return request;
}

HttpRequest MakeRatingRequest(const BackingServicesOptions& options,
                              const RatingQuery& query) {
  if (options.rating_address.empty()) {
    throw std::invalid_argument("no rating service is configured");
  }
  const Json body = {{"request", query.request.value()},
                     {"model", query.model.value()},
                     {"version", query.version.value()},
                     {"quality_class", query.quality_class},
                     {"prompt", query.prompt},
                     {"answer", query.answer}};
  HttpRequest request;
  request.method = "POST";
  request.url = "http://" + options.rating_address + "/rate";
  request.headers = {"Content-Type: application/json"};
  request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return request;
}

}  // namespace

HttpRequest MakeRequest(const BackingServicesOptions& options,
                        const BackingServiceCall& call) {
  const std::string& table = options.table_name;
  if (const auto* transact = std::get_if<TransactCall>(&call.detail)) {
    HttpRequest request =
        MakeTableRequest(options, "TransactWriteItems",
                         EncodeTransaction(table, transact->transaction));
    request.resend = false;
    return request;
  }
  if (const auto* get = std::get_if<GetRowsCall>(&call.detail)) {
    return MakeTableRequest(options, "BatchGetItem",
                            EncodeBatchGet(table, get->keys));
  }
  if (const auto* query = std::get_if<QueryCall>(&call.detail)) {
    return MakeTableRequest(
        options, "Scan",
        EncodeScan(table, query->prefix, query->after, query->start_key));
  }
  if (const auto* put = std::get_if<PutObjectCall>(&call.detail)) {
    return MakeObjectRequest(options, "PUT", put->name, put->bytes);
  }
  if (const auto* object = std::get_if<GetObjectCall>(&call.detail)) {
    return MakeObjectRequest(options, "GET", object->name, std::string());
  }
  if (const auto* object = std::get_if<RemoveObjectCall>(&call.detail)) {
    return MakeObjectRequest(options, "DELETE", object->name, std::string());
  }
  if (const auto* rate = std::get_if<RateCall>(&call.detail)) {
    return MakeRatingRequest(options, rate->query);
  }
  HttpRequest request;
  request.method = "GET";
  request.url = "http://" + options.instance_list_address + "/instances";
  return request;
}

}  // namespace filbertshift

// Ports for the wire formats of a platform: header fields of requests and
// answers, and calls to its store. Implemented by an adapter.

#ifndef SRC_GATEWAY_GATEWAY_PORTS_H_
#define SRC_GATEWAY_GATEWAY_PORTS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/fleet/fleet.h"
#include "src/http1/http1.h"

namespace filbertshift {

struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;
};

// What a caller says of its request.
struct RequestMetadata {
  // Unique for each request; empty if missing.
  std::string request_id;
  // How long the caller will wait; empty if it does not say.
  std::optional<std::chrono::milliseconds> time_left;
  // Empty if missing.
  std::string api_key;
  std::string model;
  std::int64_t prompt_tokens = 0;
  // Requests with the same session belong together; empty if missing.
  std::string session;
  // In order; the last one belongs to the request itself.
  std::vector<PromptPart> prompt_parts;
  // Set if the caller continues a stream.
  std::optional<std::string> last_event_id;
};

// What the router tells an endpoint beside the caller's own fields.
struct EndpointFields {
  std::chrono::milliseconds time_left{0};
  AccountId account;
  EndpointId expected_endpoint;
  // Set if the router chooses the model.
  std::optional<ModelId> model;
  // 0 (first) to 9; not set for plain services.
  std::optional<int> urgency;
  // Set if the stream goes on after this event.
  std::optional<std::string> last_event_id;
};

// What the head of an endpoint's answer says.
struct AnswerMetadata {
  // Empty if the answer does not name its request.
  std::string request_id;
  // The endpoint vouches for the answer.
  bool sealed = false;
  // The endpoint states that the request has not run and never will.
  bool not_run = false;
  // The body is not the endpoint's own bytes.
  bool encoded = false;
  // 0 to 100; how sure the model is of its answer.
  std::optional<int> confidence;
};

class RequestCodec {
 public:
  virtual ~RequestCodec() = default;
  // Fields that cannot be read are reported and count as missing.
  virtual RequestMetadata DecodeRequest(
      const HttpRequestHead& head,
      std::vector<Finding>* findings) const = 0;
  // The fields for the endpoint: the caller's, without those that concern one
  // connection or are the router's to set.
  virtual HttpHeaders EncodeForEndpoint(const HttpHeaders& from_caller,
                                        const EndpointFields& fields) const = 0;
  virtual AnswerMetadata DecodeAnswer(const HttpResponseHead& head) const = 0;
};

struct StoreRequest {
  HttpRequestHead head;
  std::string body;
};

// An answer about rows.
struct RowsAnswer {
  std::vector<StoreRow> rows;
  bool has_more = false;
  // The newest version of the store.
  std::int64_t as_of = 0;
  // The store's steady clock.
  std::chrono::milliseconds store_time{0};
};

class StoreProtocol {
 public:
  virtual ~StoreProtocol() = default;
  // The rows of the table after `after_key` (empty: from the first).
  virtual StoreRequest ListRequest(StoreTable table,
                                   const std::string& after_key) const = 0;
  // The changes after a version; the store waits for one.
  virtual StoreRequest ChangesRequest(StoreTable table,
                                      std::int64_t after_version,
                                      std::chrono::milliseconds wait) const = 0;
  virtual StoreRequest TransactionRequest(
      const StoreTransaction& transaction) const = 0;
  // Throws FindingsError if the body is not an answer about rows.
  virtual RowsAnswer DecodeRows(const std::string& body) const = 0;
};

// Status codes of the store.
constexpr int kStoreOk = 200;
constexpr int kStoreConflict = 412;
constexpr int kStoreHistoryLost = 410;

}  // namespace filbertshift

#endif  // SRC_GATEWAY_GATEWAY_PORTS_H_

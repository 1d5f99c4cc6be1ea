// Interfaces to the wire formats of a platform: header fields of requests and
// responses, and calls to its store. Implemented by a platform adapter.

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

// Metadata from the header fields of a caller's request.
struct RequestMetadata {
  // Unique per request; empty if missing.
  std::string request_id;
  // How long the caller waits; not set if unspecified.
  std::optional<std::chrono::milliseconds> time_left;
  // Empty if missing.
  std::string api_key;
  std::string model;
  std::int64_t prompt_tokens = 0;
  // Groups requests that must use the same version; empty if missing.
  std::string session;
  // From the start of the prompt; only the last part is specific to the
  // request.
  std::vector<PromptPart> prompt_parts;
  // Set if the caller resumes a stream.
  std::optional<std::string> last_event_id;
};

// Header values that the router adds to a request for an endpoint.
struct EndpointFields {
  std::chrono::milliseconds time_left{0};
  AccountId account;
  EndpointId expected_endpoint;
  // Set if the router selects the model.
  std::optional<ModelId> model;
  // 0 (most urgent) to 9; not set for plain services.
  std::optional<int> urgency;
  // Event after which a stream resumes.
  std::optional<std::string> last_event_id;
};

// Metadata from the head of an endpoint's response.
struct ResponseMetadata {
  // Empty if the response does not carry a request id.
  std::string request_id;
  // The response carries a seal, so it comes from the endpoint and not from an
  // intermediary.
  bool sealed = false;
  // The endpoint guarantees that the request has not run and will not run.
  bool not_run = false;
  // The body has a content encoding, so it is not what the endpoint sent.
  bool encoded = false;
  // The response comes from another endpoint than the request was for.
  bool misdirected = false;
  // The endpoint is about to stop and wants no new requests.
  bool leaving = false;
  // The endpoint has refused the request and wants no others for this long.
  std::optional<std::chrono::milliseconds> pause;
  // The model's confidence in its output, 0 to 100.
  std::optional<int> confidence;
};

class RequestCodec {
 public:
  virtual ~RequestCodec() = default;
  // Malformed fields are added to `findings` and treated as missing.
  virtual RequestMetadata DecodeRequest(
      const HttpRequestHead& head,
      std::vector<Finding>* findings) const = 0;
  // Returns the caller's header fields without hop-by-hop fields and fields
  // that only the router may set, plus `fields`.
  virtual HttpHeaders EncodeForEndpoint(const HttpHeaders& from_caller,
                                        const EndpointFields& fields) const = 0;
  // Whether a caller that gets a response with this status concludes that the
  // request has not run and never will.
  virtual bool PromisesNotRun(int status) const = 0;
  // As DecodeRequest.
  virtual ResponseMetadata DecodeResponse(
      const HttpResponseHead& head,
      std::vector<Finding>* findings) const = 0;
};

struct StoreRequest {
  HttpRequestHead head;
  std::string body;
};

// Decoded response to a list or changes request.
struct RowsResponse {
  std::vector<StoreRow> rows;
  bool has_more = false;
  // Latest version of the store when it responded. DecodeRows() does not set
  // the era.
  StoreVersion as_of;
  // Monotonic clock of the store.
  std::chrono::milliseconds store_time{0};
};

class StoreProtocol {
 public:
  virtual ~StoreProtocol() = default;
  // Lists rows with keys after `after_key`; from the first row if empty.
  virtual StoreRequest ListRequest(StoreTable table,
                                   const std::string& after_key) const = 0;
  // Long-polls changes after a version; the store waits up to `wait` for one.
  virtual StoreRequest ChangesRequest(StoreTable table,
                                      std::int64_t after_version,
                                      std::chrono::milliseconds wait) const = 0;
  virtual StoreRequest TransactionRequest(
      const StoreTransaction& transaction) const = 0;
  // Throws FindingsError if the body cannot be decoded.
  virtual RowsResponse DecodeRows(const std::string& body) const = 0;
  // Era of the store that the head of a response names. Empty, with a finding,
  // if it names none or one that cannot be read.
  virtual std::optional<std::int64_t> DecodeEra(
      const HttpResponseHead& head,
      std::vector<Finding>* findings) const = 0;
};

// HTTP status codes of the store.
constexpr int kStoreOk = 200;
constexpr int kStoreConflict = 412;
constexpr int kStoreHistoryLost = 410;

}  // namespace filbertshift

#endif  // SRC_GATEWAY_GATEWAY_PORTS_H_

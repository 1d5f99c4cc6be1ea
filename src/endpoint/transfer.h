// A libcurl transfer: a probe, the verification of a new connection, or the
// request of an attempt.

#ifndef SRC_ENDPOINT_TRANSFER_H_
#define SRC_ENDPOINT_TRANSFER_H_

#include <curl/curl.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "src/endpoint/connection_table.h"
#include "src/endpoint/response_reader.h"
#include "src/http1/event_splitter.h"
#include "src/ports/endpoint_port.h"

namespace filbertshift {

class EndpointLoop;

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct HeaderListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

enum class TransferKind {
  // A probe requested by the core; uses any connection.
  kProbe,
  // Opens and probes a new connection for an attempt.
  kVerify,
  // Sends the request of an attempt over a verified connection.
  kSend,
};

struct Transfer {
  TransferId id = TransferId::kNone;
  TransferKind kind = TransferKind::kProbe;
  EndpointLoop* loop = nullptr;
  EndpointId endpoint;
  std::string address;
  // Empty for probes.
  AttemptId attempt;
  std::unique_ptr<CURL, EasyDeleter> easy;
  std::unique_ptr<curl_slist, HeaderListDeleter> header_list;
  std::optional<ResponseReader> reader;
  // Whether the response is an event stream. Its events are forwarded only
  // whole.
  bool event_stream = false;
  EventSplitter splitter;
  // Body of the response to a probe.
  std::string probe_body;
  // Error text written by libcurl; empty if there is none.
  std::array<char, CURL_ERROR_SIZE> error{};
  // The connection in use; -1 if there is none or it has been closed.
  int descriptor = -1;
  // Bytes received on that connection before the request was written.
  std::uint64_t received_before = 0;
  // The connection has carried no attempt before this one.
  bool own_connection = false;
  // How often libcurl was about to write the request; more than once if it
  // retries.
  int write_count = 0;
  // The transfer was stopped before writing because libcurl had no verified
  // connection for it.
  bool unverified = false;
  // The verified incarnation of a connection that the endpoint closed while
  // this transfer used it; zero if there is none.
  Incarnation lost_incarnation;
};

// Creates the easy handle for `GET /metrics`.
void PrepareProbe(Transfer* transfer,
                  std::chrono::milliseconds timeout,
                  std::size_t max_bytes,
                  bool fresh_connection);

// Creates the easy handle for the request. `spec` must outlive the transfer.
// Throws std::invalid_argument if the request cannot be expressed in HTTP.
void PrepareSend(Transfer* transfer, const AttemptSpec& spec);

// Returns the outcome of a request that libcurl had started to write.
AttemptOutcome ClassifySent(CURLcode result, const ResponseReader& reader);

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_TRANSFER_H_

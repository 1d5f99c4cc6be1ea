// One use of libcurl: a probe, the verification of a new connection, or the
// sending of a request.

#ifndef SRC_ENDPOINT_TRANSFER_H_
#define SRC_ENDPOINT_TRANSFER_H_

#include <curl/curl.h>

#include <array>
#include <chrono>
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
  // Asked for by the core; uses any connection.
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
  // The response is a stream of events, which must not be split.
  bool event_stream = false;
  EventSplitter splitter;
  // Body of a probe reply.
  std::string probe_body;
  // Written by libcurl; empty if it has no description.
  std::array<char, CURL_ERROR_SIZE> error{};
  // The connection in use; -1 if there is none or it has been closed.
  int descriptor = -1;
  // Number of connections on which libcurl was about to write the request.
  int writes = 0;
  // No verified connection was at hand, so that nothing was written.
  bool refused = false;
  // The verified incarnation of a connection that the other side closed while
  // this transfer used it; zero if there is none.
  Incarnation lost;
};

// Sets the easy handle up for `GET /metrics`.
void PrepareProbe(Transfer* transfer,
                  std::chrono::milliseconds timeout,
                  std::size_t max_bytes,
                  bool fresh_connection);

// Sets the easy handle up for the request. `spec` must outlive the transfer.
// Throws std::invalid_argument if the request cannot be written as HTTP.
void PrepareSend(Transfer* transfer, const AttemptSpec& spec);

// The outcome of a request whose first byte was about to be written.
AttemptOutcome ClassifySent(CURLcode result, const ResponseReader& reader);

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_TRANSFER_H_

#include "src/endpoint/transfer.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <new>
#include <stdexcept>

#include "src/endpoint/endpoint_loop.h"

namespace filbertshift {

namespace {

std::size_t OnHeader(char* data,
                     std::size_t size,
                     std::size_t count,
                     void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  const std::string_view line(data, size * count);
  return transfer->loop->OnHeaderLine(transfer, line) ? line.size() : 0;
}

std::size_t OnBody(char* data,
                   std::size_t size,
                   std::size_t count,
                   void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  const std::string_view bytes(data, size * count);
  return transfer->loop->OnBody(transfer, bytes) ? bytes.size() : 0;
}

int OnBeforeWrite(void* user_data, char*, char*, int, int local_port) {
  auto* transfer = static_cast<Transfer*>(user_data);
  return transfer->loop->OnBeforeWrite(transfer, local_port)
             ? CURL_PREREQFUNC_OK
             : CURL_PREREQFUNC_ABORT;
}

int OnProgress(void* user_data,
               curl_off_t,
               curl_off_t,
               curl_off_t,
               curl_off_t) {
  auto* transfer = static_cast<Transfer*>(user_data);
  return transfer->loop->OnProgress(transfer) ? 0 : 1;
}

curl_socket_t OnOpenSocket(void* user_data,
                           curlsocktype,
                           curl_sockaddr* address) {
  auto* transfer = static_cast<Transfer*>(user_data);
  return transfer->loop->OnOpenSocket(transfer, *address);
}

int OnCloseSocket(void* user_data, curl_socket_t descriptor) {
  static_cast<EndpointLoop*>(user_data)->OnCloseSocket(descriptor);
  return 0;
}

// Whether the header describes the connection or the message framing, which
// this client sets itself. Forwarding the framing headers of a caller would
// allow request smuggling.
bool IsConnectionHeader(const std::string& name) {
  constexpr std::array<const char*, 10> kNames = {
      "Connection",        "Content-Length",   "Expect", "Host",
      "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
      "Transfer-Encoding", "Upgrade"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&name](const char* connection_name) {
                       return strcasecmp(name.c_str(), connection_name) == 0;
                     });
}

void CheckToken(const std::string& text, const char* description) {
  const bool valid =
      !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != ':';
      });
  if (!valid) {
    throw std::invalid_argument(std::string(description) +
                                " is not an HTTP token");
  }
}

void AppendLine(Transfer* transfer, const std::string& line) {
  curl_slist* list =
      curl_slist_append(transfer->header_list.get(), line.c_str());
  if (list == nullptr) {
    throw std::bad_alloc();
  }
  // Only the first append changes the head of the list.
  if (!transfer->header_list) {
    transfer->header_list.reset(list);
  }
}

void AppendHeader(Transfer* transfer, const HttpHeader& header) {
  CheckToken(header.name, "header name");
  if (header.value.find_first_of(std::string("\r\n\0", 3)) !=
      std::string::npos) {
    throw std::invalid_argument("header value has a line break or a zero byte");
  }
  // libcurl removes a header that is written with a colon and no value. With a
  // semicolon it sends the header with an empty value.
  AppendLine(transfer, header.value.empty()
                           ? header.name + ";"
                           : header.name + ": " + header.value);
}

void SetHeaders(Transfer* transfer, const AttemptSpec& spec) {
  // Suppresses headers that libcurl would add by default.
  AppendLine(transfer, "Expect:");
  if (FindHeader(spec.headers, "Content-Type").empty()) {
    AppendLine(transfer, "Content-Type:");
  }
  if (FindHeader(spec.headers, "Accept").empty()) {
    AppendLine(transfer, "Accept:");
  }
  for (const HttpHeader& header : spec.headers) {
    if (!IsConnectionHeader(header.name)) {
      AppendHeader(transfer, header);
    }
  }
  curl_easy_setopt(transfer->easy.get(), CURLOPT_HTTPHEADER,
                   transfer->header_list.get());
}

void SetCallbacks(Transfer* transfer) {
  CURL* easy = transfer->easy.get();
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeWrite);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, &OnProgress);
  curl_easy_setopt(easy, CURLOPT_XFERINFODATA, transfer);
  curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, transfer);
  // Connections outlive the transfer that opened them.
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, transfer->loop);
}

void SetCommonOptions(Transfer* transfer, const std::string& target) {
  // EndpointLoop detects closed idle connections itself, so their age needs no
  // tight limit.
  constexpr long kMaxIdleSeconds = 24L * 3600L;
  transfer->easy.reset(curl_easy_init());
  if (!transfer->easy) {
    throw std::bad_alloc();
  }
  CURL* easy = transfer->easy.get();
  const std::string url = "http://" + transfer->address + target;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer->error.data());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  SetCallbacks(transfer);
}

}  // namespace

void PrepareProbe(Transfer* transfer,
                  std::chrono::milliseconds timeout,
                  std::size_t max_bytes,
                  bool fresh_connection) {
  transfer->reader.emplace(max_bytes, false);
  SetCommonOptions(transfer, "/metrics");
  CURL* easy = transfer->easy.get();
  curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh_connection ? 1L : 0L);
}

void PrepareSend(Transfer* transfer, const AttemptSpec& spec) {
  CheckToken(spec.method, "method");
  if (spec.target.empty() || spec.target.front() != '/') {
    throw std::invalid_argument("target does not start with a slash");
  }
  const bool is_head = spec.method == "HEAD";
  transfer->reader.emplace(spec.max_response_bytes, is_head);
  SetCommonOptions(transfer, spec.target);
  SetHeaders(transfer, spec);
  CURL* easy = transfer->easy.get();
  if (is_head) {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (spec.method != "GET" || !spec.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(spec.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, spec.body.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, spec.method.c_str());
}

AttemptOutcome ClassifySent(CURLcode result, const ResponseReader& reader) {
  if (reader.too_large()) {
    return AttemptOutcome::kTooLarge;
  }
  if (reader.fault() != ResponseFault::kNone) {
    return AttemptOutcome::kGarbage;
  }
  switch (result) {
    case CURLE_OK:
      return reader.head_complete() && reader.has_framing()
                 ? AttemptOutcome::kComplete
                 : AttemptOutcome::kBroken;
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
      return AttemptOutcome::kGarbage;
    default:
      return AttemptOutcome::kBroken;
  }
}

}  // namespace filbertshift

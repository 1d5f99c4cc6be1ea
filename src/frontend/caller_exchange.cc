#include "src/frontend/caller_exchange.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace filbertshift {

namespace {

MHD_Result CollectHeader(void* headers,
                         MHD_ValueKind,
                         const char* name,
                         const char* value) {
  static_cast<std::vector<HttpHeader>*>(headers)->push_back(
      HttpHeader{name, value == nullptr ? "" : value});
  return MHD_YES;
}

bool IsFramingHeader(const std::string& name) {
  constexpr std::array<const char*, 5> kNames = {
      "Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding",
      "Upgrade"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&name](const char* framing_name) {
                       return strcasecmp(name.c_str(), framing_name) == 0;
                     });
}

}  // namespace

void CallerExchange::Append(std::string bytes) {
  if (BufferedBytes() == 0) {
    pending = std::move(bytes);
    written = 0;
    return;
  }
  pending.erase(0, std::exchange(written, 0));
  pending += bytes;
}

std::size_t CallerExchange::Consume(char* buffer, std::size_t max_bytes) {
  const std::size_t count = std::min(max_bytes, BufferedBytes());
  std::memcpy(buffer, pending.data() + written, count);
  written += count;
  if (BufferedBytes() == 0) {
    pending.clear();
    written = 0;
  }
  return count;
}

void AddResponseHeaders(MHD_Response* response,
                        const std::vector<HttpHeader>& headers) {
  for (const HttpHeader& header : headers) {
    if (!IsFramingHeader(header.name)) {
      // libmicrohttpd rejects names and values that contain line breaks.
      MHD_add_response_header(response, header.name.c_str(),
                              header.value.c_str());
    }
  }
}

ResponsePointer MakeErrorResponse(const CallerError& error) {
  std::string body = CallerErrorBody(error);
  ResponsePointer response(MHD_create_response_from_buffer(
      body.size(), body.data(), MHD_RESPMEM_MUST_COPY));
  std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
  if (error.retry_after.count() > 0) {
    headers.push_back(
        {"Retry-After", std::to_string(error.retry_after.count())});
  }
  AddResponseHeaders(response.get(), headers);
  return response;
}

std::vector<HttpHeader> ReadRequestHeaders(MHD_Connection* connection) {
  std::vector<HttpHeader> headers;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                            &headers);
  return headers;
}

}  // namespace filbertshift

#include "src/backing_services/http_transfer.h"

#include <algorithm>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace filbertshift {
namespace {

// A larger reply fails the transfer. The largest legitimate ones are pages of
// 1 MB from the table service and stored responses of up to 16 MB.
constexpr std::size_t kMaxResponseBytes = std::size_t{64} * 1024 * 1024;

}  // namespace

HttpTransfer::HttpTransfer(HttpRequest request)
    : request_(std::move(request)), handle_(curl_easy_init()) {
  if (!handle_) {
    throw std::runtime_error("curl_easy_init failed");
  }
  CURL* curl = handle_.get();
  curl_easy_setopt(curl, CURLOPT_URL, request_.url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  // Proxy variables of the environment must not redirect these calls.
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   std::max<long>(1, request_.timeout.count()));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &HttpTransfer::WriteBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &HttpTransfer::ReadHeadLine);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, this);
  SetBody();
  SetHeaders();
}

void HttpTransfer::SetHeaders() {
  // Without "Expect:" libcurl waits for "100 Continue" with large bodies.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : request_.headers) {
    list = curl_slist_append(list, header.c_str());
  }
  headers_.reset(list);
  curl_easy_setopt(handle_.get(), CURLOPT_HTTPHEADER, list);
}

void HttpTransfer::SetBody() {
  CURL* curl = handle_.get();
  const auto size = static_cast<curl_off_t>(request_.body.size());
  if (request_.method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, size);
    if (request_.resend) {
      curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request_.body.data());
    } else {
      SetUpload();
    }
  } else if (request_.method == "PUT") {
    curl_easy_setopt(curl, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(curl, CURLOPT_INFILESIZE_LARGE, size);
    SetUpload();
  } else if (request_.method != "GET") {
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  }
}

// libcurl resends a request when the peer has closed a reused connection. It
// cannot resend a body that it cannot rewind, so the transfer then ends with
// CURLE_SEND_FAIL_REWIND.
void HttpTransfer::SetUpload() {
  curl_easy_setopt(handle_.get(), CURLOPT_READFUNCTION,
                   &HttpTransfer::ReadBody);
  curl_easy_setopt(handle_.get(), CURLOPT_READDATA, this);
}

size_t HttpTransfer::ReadBody(char* buffer,
                              size_t size,
                              size_t count,
                              void* self) {
  auto* transfer = static_cast<HttpTransfer*>(self);
  const std::string& body = transfer->request_.body;
  const std::size_t bytes =
      std::min(size * count, body.size() - transfer->body_sent_);
  body.copy(buffer, bytes, transfer->body_sent_);
  transfer->body_sent_ += bytes;
  return bytes;
}

size_t HttpTransfer::WriteBody(char* data,
                               size_t size,
                               size_t count,
                               void* self) {
  auto* transfer = static_cast<HttpTransfer*>(self);
  const std::size_t bytes = size * count;
  if (transfer->response_.size() + bytes > kMaxResponseBytes) {
    return 0;
  }
  transfer->response_.append(data, bytes);
  return bytes;
}

size_t HttpTransfer::ReadHeadLine(char* data,
                                  size_t size,
                                  size_t count,
                                  void* self) {
  const std::string_view line(data, size * count);
  return static_cast<HttpTransfer*>(self)->check_.AddLine(line) ? line.size()
                                                                : 0;
}

HttpResult HttpTransfer::TakeResult(CURLcode code) {
  HttpResult result;
  long request_bytes = 0;
  curl_easy_getinfo(handle_.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
  result.sent = request_bytes > 0;
  // libcurl reports success for a connection that is closed within the head of
  // a response, as long as no length was read, and for one that is closed while
  // the request is being sent.
  curl_off_t uploaded = 0;
  curl_easy_getinfo(handle_.get(), CURLINFO_SIZE_UPLOAD_T, &uploaded);
  const std::string_view problem = check_.DescribeIncomplete(
      static_cast<std::size_t>(uploaded) >= request_.body.size());
  result.complete = code == CURLE_OK && problem.empty();
  if (!result.complete) {
    const bool found_by_check =
        code == CURLE_OK || check_.fault() != ResponseFault::kNone;
    result.detail =
        found_by_check ? std::string(problem) : curl_easy_strerror(code);
    return result;
  }
  long status = 0;
  curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &status);
  result.status = static_cast<int>(status);
  result.body = std::move(response_);
  return result;
}

}  // namespace filbertshift

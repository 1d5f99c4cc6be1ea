#include "src/ctl/operator_client.h"

#include <curl/curl.h>

#include <memory>
#include <stdexcept>
#include <string_view>

#include "src/http1/response_check.h"

namespace filbertshift {

namespace {

constexpr long kConnectTimeoutMs = 2000;
// An instance waits for its core for up to 10 s before it replies.
constexpr long kCallTimeoutMs = 12000;
// Large enough for 100,000 events of about 400 bytes.
constexpr std::size_t kMaxReplyBytes = std::size_t{64} * 1024 * 1024;

std::size_t AppendBody(char* bytes,
                       std::size_t size,
                       std::size_t count,
                       void* out) {
  auto* body = static_cast<std::string*>(out);
  if (body->size() + size * count > kMaxReplyBytes) {
    return 0;
  }
  body->append(bytes, size * count);
  return size * count;
}

std::size_t ReadHeadLine(char* data,
                         std::size_t size,
                         std::size_t count,
                         void* check) {
  const std::string_view line(data, size * count);
  return static_cast<ResponseCheck*>(check)->AddLine(line) ? line.size() : 0;
}

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

void SetBody(CURL* easy, const CallSpec& call) {
  if (call.method == "GET") {
    return;
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(call.body.size()));
}

// libcurl reports a connect time of 0 if no connection was established.
CallOutcome FailureOutcome(CURL* easy) {
  curl_off_t connected_after = 0;
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected_after);
  return connected_after == 0 ? CallOutcome::kNotConnected
                              : CallOutcome::kNoReply;
}

}  // namespace

CurlOperatorClient::CurlOperatorClient() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

CurlOperatorClient::~CurlOperatorClient() {
  curl_global_cleanup();
}

CallReply CurlOperatorClient::Call(const CallSpec& call) {
  EasyHandle easy(curl_easy_init());
  if (!easy) {
    throw std::runtime_error("cannot initialise libcurl");
  }
  const std::string url = "http://" + call.address + call.target;
  // An empty Expect header prevents libcurl from waiting for "100 Continue",
  // which the server does not send.
  HeaderList headers(curl_slist_append(nullptr, "Expect:"));
  CallReply reply;
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(easy.get(), CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, kCallTimeoutMs);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &reply.body);
  ResponseCheck check;
  curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, ReadHeadLine);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &check);
  SetBody(easy.get(), call);
  CURLcode code = curl_easy_perform(easy.get());
  // libcurl reports success for a connection that is closed within the head of
  // a response, as long as no length was read, and for one that is closed while
  // the request is being sent.
  curl_off_t uploaded = 0;
  curl_easy_getinfo(easy.get(), CURLINFO_SIZE_UPLOAD_T, &uploaded);
  const std::string_view problem = check.DescribeIncomplete(
      call.method == "GET" ||
      static_cast<std::size_t>(uploaded) >= call.body.size());
  if (code != CURLE_OK || !problem.empty()) {
    const bool found_by_check =
        code == CURLE_OK || check.fault() != ResponseFault::kNone;
    reply.outcome = FailureOutcome(easy.get());
    reply.detail =
        found_by_check ? std::string(problem) : curl_easy_strerror(code);
    return reply;
  }
  long status = 0;
  curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
  reply.outcome = CallOutcome::kReplied;
  reply.http_status = static_cast<int>(status);
  return reply;
}

std::string EncodeQueryValue(const std::string& value) {
  std::unique_ptr<char, void (*)(void*)> encoded(
      curl_easy_escape(nullptr, value.data(), static_cast<int>(value.size())),
      curl_free);
  return encoded ? std::string(encoded.get()) : std::string();
}

}  // namespace filbertshift

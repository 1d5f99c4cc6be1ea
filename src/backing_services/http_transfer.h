// One HTTP exchange on a libcurl easy handle.

#ifndef SRC_BACKING_SERVICES_HTTP_TRANSFER_H_
#define SRC_BACKING_SERVICES_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "src/backing_services/http_result.h"
#include "src/http1/response_check.h"

namespace filbertshift {

struct HttpRequest {
  std::string method;
  // "http://ip:port/path", percent-encoded.
  std::string url;
  // "Name: value".
  std::vector<std::string> headers;
  std::string body;
  // If false, the HTTP client must never send the request a second time, not
  // even when a reused connection turns out to be closed.
  bool resend = true;
  std::chrono::milliseconds timeout{0};
};

// Not movable: the handle holds pointers to the object.
class HttpTransfer {
 public:
  // Throws std::runtime_error if no handle can be created.
  explicit HttpTransfer(HttpRequest request);
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  // Owned by the transfer. Must be removed from a multi handle before the
  // transfer is destroyed.
  CURL* handle() { return handle_.get(); }

  // Returns the result of an exchange that ended with `code`. Moves the body
  // out of the transfer.
  HttpResult TakeResult(CURLcode code);

 private:
  struct DeleteHandle {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  };
  struct DeleteList {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
  };

  void SetHeaders();
  void SetBody();
  void SetUpload();
  static size_t ReadBody(char* buffer, size_t size, size_t count, void* self);
  static size_t WriteBody(char* data, size_t size, size_t count, void* self);
  static size_t ReadHeadLine(char* data, size_t size, size_t count, void* self);

  HttpRequest request_;
  ResponseCheck check_;
  std::size_t body_sent_ = 0;
  std::string response_;
  std::unique_ptr<curl_slist, DeleteList> headers_;
  std::unique_ptr<CURL, DeleteHandle> handle_;
};

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_HTTP_TRANSFER_H_

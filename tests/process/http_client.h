// A blocking HTTP client for process tests.

#ifndef TESTS_PROCESS_HTTP_CLIENT_H_
#define TESTS_PROCESS_HTTP_CLIENT_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace filbertshift {

struct HttpResult {
  // 0 if no complete response arrived.
  int status = 0;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  // Text of the transport error; empty for a complete response.
  std::string error;
  std::chrono::milliseconds first_byte{0};
  std::chrono::milliseconds total{0};

  // Parses the body; returns a discarded value if it is not JSON.
  nlohmann::json Json() const;
  // Returns the field "run" of an error body, or an empty string.
  std::string Run() const;
  std::string ErrorCode() const;
};

struct HttpCall {
  std::string method = "GET";
  // "IP:PORT/path".
  std::string url;
  // "Name: value".
  std::vector<std::string> headers;
  std::string body;
  std::chrono::milliseconds timeout{30000};
};

HttpResult Call(const HttpCall& call);

// The content of a chat stream of server-sent events; `done` is set by the
// final [DONE] event.
struct StreamedAnswer {
  std::string text;
  bool done = false;
  std::string model;
  std::string error_code;
};

StreamedAnswer ReadStream(const std::string& body);

}  // namespace filbertshift

#endif  // TESTS_PROCESS_HTTP_CLIENT_H_

// HTTP requests and responses of the emulated services.

#ifndef EMULATOR_HTTP_HTTP_MESSAGE_H_
#define EMULATOR_HTTP_HTTP_MESSAGE_H_

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace filbertshift::emulator {

using Json = nlohmann::json;

struct HttpField {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;
  // Without the query string.
  std::string path;
  std::vector<HttpField> query;
  std::vector<HttpField> headers;
  std::string body;

  // Header names are case-insensitive. Returns an empty string if absent.
  std::string Header(std::string_view name) const;
  std::string QueryValue(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<HttpField> headers;
  std::string body;
};

// Returns a response with Content-Type application/json. Invalid UTF-8 is
// replaced.
HttpResponse JsonResponse(int status, const Json& body);

// Returns a JSON response with the body {"error": message}.
HttpResponse ErrorResponse(int status, const std::string& message);

HttpResponse TextResponse(int status, std::string body);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_HTTP_MESSAGE_H_

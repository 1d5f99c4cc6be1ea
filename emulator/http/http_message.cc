#include "emulator/http/http_message.h"

#include <strings.h>

#include <utility>

namespace filbertshift::emulator {

std::string HttpRequest::Header(std::string_view name) const {
  for (const HttpField& field : headers) {
    if (field.name.size() == name.size() &&
        strncasecmp(field.name.data(), name.data(), name.size()) == 0) {
      return field.value;
    }
  }
  return std::string();
}

std::string HttpRequest::QueryValue(std::string_view name) const {
  for (const HttpField& field : query) {
    if (field.name == name) {
      return field.value;
    }
  }
  return std::string();
}

HttpResponse JsonResponse(int status, const Json& body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body =
      body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

HttpResponse ErrorResponse(int status, const std::string& message) {
  return JsonResponse(status, Json{{"error", message}});
}

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  response.body = std::move(body);
  return response;
}

}  // namespace filbertshift::emulator

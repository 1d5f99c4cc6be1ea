#include "src/http1/http_message.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace filbertshift {

namespace {

constexpr std::array<std::string_view, 9> kConnectionFields = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length"};

// Calls `visit` with each trimmed element of a comma-separated value.
template <class Visit>
void ForEachElement(std::string_view value, Visit visit) {
  while (!value.empty()) {
    std::size_t comma = value.find(',');
    visit(TrimBlanks(value.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return;
    }
    value.remove_prefix(comma + 1);
  }
}

void AppendFields(const HttpHeaders& headers, std::string* out) {
  for (const HeaderField& field : headers.fields()) {
    out->append(field.name).append(": ").append(field.value).append("\r\n");
  }
  out->append("\r\n");
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

const std::string* HttpHeaders::Find(std::string_view name) const {
  for (const HeaderField& field : fields_) {
    if (EqualsIgnoringCase(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.push_back(HeaderField{std::move(name), std::move(value)});
}

void HttpHeaders::Set(std::string_view name, std::string value) {
  Remove(name);
  Add(std::string(name), std::move(value));
}

void HttpHeaders::Remove(std::string_view name) {
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                               [name](const HeaderField& field) {
                                 return EqualsIgnoringCase(field.name, name);
                               }),
                fields_.end());
}

std::string_view TrimBlanks(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool HasToken(std::string_view value, std::string_view token) {
  bool found = false;
  ForEachElement(value, [&found, token](std::string_view element) {
    found = found || EqualsIgnoringCase(element, token);
  });
  return found;
}

void RemoveConnectionFields(HttpHeaders* headers) {
  std::vector<std::string> named;
  for (const HeaderField& field : headers->fields()) {
    if (EqualsIgnoringCase(field.name, "Connection")) {
      ForEachElement(field.value, [&named](std::string_view element) {
        named.emplace_back(element);
      });
    }
  }
  for (const std::string& name : named) {
    headers->Remove(name);
  }
  for (std::string_view name : kConnectionFields) {
    headers->Remove(name);
  }
}

std::string SerializeRequestHead(const HttpRequestHead& head) {
  std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
  AppendFields(head.headers, &out);
  return out;
}

std::string SerializeResponseHead(const HttpResponseHead& head) {
  std::string out = fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason);
  AppendFields(head.headers, &out);
  return out;
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Unknown";
  }
}

std::string SerializeChunk(std::string_view data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

}  // namespace filbertshift

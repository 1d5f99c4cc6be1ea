#include "src/config/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace filbertshift {

namespace {

constexpr std::size_t kMaxIdLength = 64;
constexpr std::size_t kMaxTextLength = 256;
constexpr std::size_t kSha256Digits = 64;
constexpr int kMaxPort = 65535;

bool OnlyBytesOf(std::string_view text, std::string_view allowed) {
  return text.find_first_not_of(allowed) == std::string_view::npos;
}

bool IsIpAddress(std::string host) {
  unsigned char address[sizeof(in6_addr)];
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), address) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), address) == 1;
}

bool IsIpAndPort(std::string_view text, int min_port) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos ||
      !IsIpAddress(std::string(text.substr(0, colon)))) {
    return false;
  }
  std::string_view digits = text.substr(colon + 1);
  int port = -1;
  auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return error == std::errc() && end == digits.data() + digits.size() &&
         port >= min_port && port <= kMaxPort;
}

}  // namespace

namespace text_internal {

bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         OnlyBytesOf(text,
                     "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                     "0123456789._:-");
}

bool IsOptionalId(std::string_view text) {
  return text.empty() || IsId(text);
}

bool IsNonEmptyText(std::string_view text) {
  return !text.empty() && text.size() <= kMaxTextLength;
}

bool IsSha256(std::string_view text) {
  return text.size() == kSha256Digits && OnlyBytesOf(text, "0123456789abcdef");
}

bool IsMethod(std::string_view text) {
  static constexpr std::string_view kMethods[] = {
      "", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
  return std::find(std::begin(kMethods), std::end(kMethods), text) !=
         std::end(kMethods);
}

bool IsPathPrefix(std::string_view text) {
  return IsNonEmptyText(text) && text[0] == '/';
}

bool IsListenAddress(std::string_view text) {
  return IsIpAndPort(text, 0);
}

bool IsAddress(std::string_view text) {
  return IsIpAndPort(text, 1);
}

bool IsOptionalAddress(std::string_view text) {
  return text.empty() || IsAddress(text);
}

}  // namespace text_internal

}  // namespace filbertshift

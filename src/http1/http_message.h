// Heads of HTTP/1.1 messages.

#ifndef SRC_HTTP1_HTTP_MESSAGE_H_
#define SRC_HTTP1_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace filbertshift {

struct HeaderField {
  std::string name;
  std::string value;
};

bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Header fields in the order of the message. Names compare without case.
class HttpHeaders {
 public:
  // The first field of that name; nullptr if there is none.
  const std::string* Find(std::string_view name) const;
  void Add(std::string name, std::string value);
  // Replaces all fields of that name.
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);
  const std::vector<HeaderField>& fields() const { return fields_; }
  std::vector<HeaderField>& fields() { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

struct HttpRequestHead {
  std::string method;
  // As sent: neither decoded nor normalized.
  std::string target;
  HttpHeaders headers;
};

struct HttpResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
};

// True if a comma-separated field value has the token, compared without case.
bool HasToken(std::string_view value, std::string_view token);

// Removes the fields that concern one connection only: those of RFC 9110
// section 7.6.1 and those that the Connection field names.
void RemoveConnectionFields(HttpHeaders* headers);

std::string SerializeRequestHead(const HttpRequestHead& head);
std::string SerializeResponseHead(const HttpResponseHead& head);

// The standard reason phrase; "Unknown" for other codes.
std::string_view ReasonPhrase(int status);

// One chunk of a chunked body; `data` must not be empty.
std::string SerializeChunk(std::string_view data);
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace filbertshift

#endif  // SRC_HTTP1_HTTP_MESSAGE_H_

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

// Header fields in the order of the message. Names are case-insensitive.
class HttpHeaders {
 public:
  // Returns the value of the first field of that name, or nullptr.
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

// Removes blanks and tabs at both ends.
std::string_view TrimBlanks(std::string_view text);

// True if a comma-separated field value contains `token`, compared
// case-insensitively.
bool HasToken(std::string_view value, std::string_view token);

// Removes hop-by-hop fields (RFC 9110 section 7.6.1), which include those that
// the Connection field names, and also Expect and Content-Length.
void RemoveConnectionFields(HttpHeaders* headers);

std::string SerializeRequestHead(const HttpRequestHead& head);
std::string SerializeResponseHead(const HttpResponseHead& head);

// Returns the standard reason phrase, or "Unknown" for a status that this
// library does not list.
std::string_view ReasonPhrase(int status);

// Encodes one chunk of a chunked body. `data` must not be empty, because an
// empty chunk ends the body.
std::string SerializeChunk(std::string_view data);
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace filbertshift

#endif  // SRC_HTTP1_HTTP_MESSAGE_H_

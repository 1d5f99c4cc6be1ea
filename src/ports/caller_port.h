// Port between the core and the HTTP server for callers.

#ifndef SRC_PORTS_CALLER_PORT_H_
#define SRC_PORTS_CALLER_PORT_H_

#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct HttpHeader {
  std::string name;
  std::string value;
};

// A complete request of a caller, its body included.
struct CallerRequest {
  CallerId caller{};
  std::string method;
  // Path without the query string.
  std::string path;
  // Query string without the question mark; empty if there is none.
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;
  TimePoint received;
};

// The caller closed its connection before the answer ended.
struct CallerGone {
  CallerId caller{};
};

// Methods are called by the core thread and return at once. Calls for a caller
// that is gone have no effect.
class CallerPort {
 public:
  virtual ~CallerPort() = default;

  // Starts the answer. With `streaming`, the body goes out piece by piece as it
  // is given; without, the body must follow in one SendBody and a Finish.
  virtual void SendHead(CallerId caller,
                        int http_status,
                        std::vector<HttpHeader> headers,
                        bool streaming) = 0;
  virtual void SendBody(CallerId caller, std::string bytes) = 0;
  // Ends the answer in the regular way.
  virtual void Finish(CallerId caller) = 0;
  // Cuts the connection, so that the caller sees an incomplete answer.
  virtual void Abort(CallerId caller) = 0;
};

// The value of the first header of that name, ignoring case, or the empty
// string.
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       std::string_view name);

}  // namespace filbertshift

#endif  // SRC_PORTS_CALLER_PORT_H_

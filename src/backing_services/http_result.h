// The result of one HTTP exchange with a backing service.

#ifndef SRC_BACKING_SERVICES_HTTP_RESULT_H_
#define SRC_BACKING_SERVICES_HTTP_RESULT_H_

#include <string>

namespace filbertshift {

struct HttpResult {
  // False if no byte of the request was written to a socket.
  bool sent = false;
  // True if the reply is complete according to its HTTP framing.
  bool complete = false;
  int status = 0;
  std::string body;
  // Error of the HTTP client if the reply is not complete.
  std::string detail;
};

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_HTTP_RESULT_H_

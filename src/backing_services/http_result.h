// The result of one HTTP exchange with a platform service.

#ifndef SRC_BACKING_SERVICES_HTTP_RESULT_H_
#define SRC_BACKING_SERVICES_HTTP_RESULT_H_

#include <string>

namespace filbertshift {

struct HttpResult {
  // False: no byte of the request was written to a socket.
  bool sent = false;
  // True: the reply is complete by HTTP framing.
  bool complete = false;
  int status = 0;
  std::string body;
  // What the HTTP client reports if the reply is not complete.
  std::string detail;
};

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_HTTP_RESULT_H_

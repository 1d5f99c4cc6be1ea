// HTTP client for the operator interface of an instance.

#ifndef SRC_CTL_OPERATOR_CLIENT_H_
#define SRC_CTL_OPERATOR_CLIENT_H_

#include <chrono>
#include <string>

namespace filbertshift {

enum class CallOutcome {
  kReplied,
  // No connection was established, so nothing was sent.
  kNotConnected,
  // The request may have been sent, but no complete reply was received.
  kNoReply,
};

struct CallReply {
  CallOutcome outcome = CallOutcome::kNotConnected;
  int http_status = 0;
  std::string body;
  // Error message if there is no reply.
  std::string detail;
};

struct CallSpec {
  // "ip:port".
  std::string address;
  std::string method = "GET";
  // Path with query string.
  std::string target;
  std::string body;
};

class OperatorClient {
 public:
  virtual ~OperatorClient() = default;
  virtual CallReply Call(const CallSpec& call) = 0;
};

class CurlOperatorClient : public OperatorClient {
 public:
  CurlOperatorClient();
  ~CurlOperatorClient() override;
  CallReply Call(const CallSpec& call) override;
};

// Percent-encodes a value for use in a query string.
std::string EncodeQueryValue(const std::string& value);

}  // namespace filbertshift

#endif  // SRC_CTL_OPERATOR_CLIENT_H_

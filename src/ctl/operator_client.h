// HTTP client of the operator interface of one instance.

#ifndef SRC_CTL_OPERATOR_CLIENT_H_
#define SRC_CTL_OPERATOR_CLIENT_H_

#include <chrono>
#include <string>

namespace filbertshift {

enum class CallOutcome {
  kReplied,
  // No connection, so nothing was sent.
  kNotConnected,
  // The call was sent, or may have been, and there is no complete reply.
  kNoReply,
};

struct CallReply {
  CallOutcome outcome = CallOutcome::kNotConnected;
  int http_status = 0;
  std::string body;
  // Why there is no reply.
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

// Encodes a value for use in a query string.
std::string EncodeQueryValue(const std::string& value);

}  // namespace filbertshift

#endif  // SRC_CTL_OPERATOR_CLIENT_H_

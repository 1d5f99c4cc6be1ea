// Test fixture: a forwarder with the platform's codecs over a fake transport.
// The test writes the endpoints' responses and reads what callers receive.

#ifndef TESTS_UNIT_GATEWAY_FORWARDER_FIXTURE_H_
#define TESTS_UNIT_GATEWAY_FORWARDER_FIXTURE_H_

#include <map>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "src/gateway/gateway.h"
#include "tests/unit/support/fake_transport.h"

namespace filbertshift {

class NullEventLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId, const EventContext&, std::string) override {}
};

// Keeps the details of all events, and their number.
class DetailLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId event, const EventContext&, std::string detail) override {
    ++counts[event];
    details[event].push_back(std::move(detail));
  }
  std::map<EventId, int> counts;
  std::map<EventId, std::vector<std::string>> details;
};

class ForwarderFixture : public FleetViewListener {
 public:
  // Sets up one service with endpoints "e1" to "eN" and the routes /once/ (not
  // idempotent), /safe/ (idempotent), /stream/ (resumable stream), /sized/ (the
  // same with the models "small" and "large") and /sized-once/ (the same, not
  // resumable).
  explicit ForwarderFixture(int endpoints = 2,
                            const ForwarderLimits& limits = Limits());
  static ForwarderLimits Limits();

  void OnConfiguration(const FleetConfiguration& configuration) override;
  void OnEndpoint(const RoutedEndpoint& record) override;
  void OnEndpointRemoved(const EndpointId& endpoint) override;

  // Sends a request and lets connections open. Returns the caller's connection.
  ConnectionId Request(const std::string& method,
                       const std::string& target,
                       const std::string& id,
                       const std::string& more_fields = "",
                       const std::string& body = "");
  // A request received by an endpoint.
  struct Arrival {
    ConnectionId connection{};
    std::string endpoint;
    std::string text;
  };
  // Returns the next request received by an endpoint; waits up to 200 ms.
  Arrival NextArrival();
  // Whether no endpoint receives anything within `time`.
  bool NothingArrives(std::chrono::milliseconds time);
  void Respond(const Arrival& arrival, const std::string& text);
  std::string AddressOf(const std::string& endpoint) const;
  // Puts the configuration in force under another version.
  void ApplyConfiguration(int version);
  void RemoveRecord(const std::string& endpoint);

  static std::string WholeResponse(int status,
                                   const std::string& id,
                                   const std::string& body,
                                   const std::string& more_fields = "");
  // Head of a chunked stream.
  static std::string StreamHead(const std::string& id,
                                const std::string& more_fields = "");
  static std::string Event(int number);

  FakeTransport transport;
  DetailLog log;
  GatewayMetrics metrics;
  HeaderCodec headers;
  DocumentDecoder documents;
  FleetView view;
  Forwarder forwarder;
  CallerServer server;
  std::map<std::string, std::string> addresses;

 private:
  void PutEndpoint(int number);
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_GATEWAY_FORWARDER_FIXTURE_H_

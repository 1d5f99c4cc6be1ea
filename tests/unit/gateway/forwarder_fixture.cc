#include "tests/unit/gateway/forwarder_fixture.h"

#include <fmt/format.h>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr char kConfiguration[] = R"({"version":3,"routes":[
 {"name":"once","host":"h.example","prefix":"/once/","route_kind":"non_idempotent",
  "timeout_ms":800,"objective_ms":300,"priority":2,"service":"s","max_attempts":1},
 {"name":"safe","host":"h.example","prefix":"/safe/","route_kind":"idempotent",
  "timeout_ms":800,"objective_ms":300,"priority":2,"service":"s","max_attempts":2},
 {"name":"stream","host":"h.example","prefix":"/stream/","route_kind":"streaming",
  "timeout_ms":20000,"objective_ms":2000,"gap_aim_ms":1000,"priority":1,
  "service":"s","max_attempts":3,"resumable":true},
 {"name":"sized","host":"h.example","prefix":"/sized/","route_kind":"streaming",
  "timeout_ms":20000,"objective_ms":2000,"gap_aim_ms":1000,"priority":1,
  "service":"s","max_attempts":3,"resumable":true,"sizes":["small","large"]},
 {"name":"sized-once","host":"h.example","prefix":"/sized-once/",
  "route_kind":"streaming","timeout_ms":20000,"objective_ms":2000,
  "gap_aim_ms":1000,"priority":1,"service":"s","max_attempts":3,
  "sizes":["small","large"]}],
 "services":[{"name":"s","max_conns":100}],
 "tenants":[{"name":"museum","api_keys":["k1"]}]})";

}  // namespace

ForwarderLimits ForwarderFixture::Limits() {
  return Limits(ForwarderLimits().max_buffered_bytes);
}

ForwarderLimits ForwarderFixture::Limits(std::size_t max_buffered_bytes) {
  ForwarderLimits limits;
  limits.max_buffered_bytes = max_buffered_bytes;
  limits.repeats = {0.9, milliseconds(10000), 58};
  limits.cold = {1.5, 5};
  return limits;
}

ForwarderFixture::ForwarderFixture(int endpoints, const ForwarderLimits& limits)
    : view(documents, &log, this),
      forwarder(&transport,
                headers,
                view,
                &log,
                &metrics,
                DataCentreId("a"),
                limits,
                milliseconds(100)),
      server(&transport, &forwarder) {
  forwarder.SetServer(&server);
  ApplyConfiguration(3);
  for (int i = 1; i <= endpoints; ++i) {
    PutEndpoint(i);
  }
}

void ForwarderFixture::PutEndpoint(int number) {
  std::string id = fmt::format("e{}", number);
  std::string address = fmt::format("10.0.0.{}:80", number);
  addresses[address] = id;
  std::string text = fmt::format(
      R"({{"service":"s","address":"{}","zone":"a","version":"v1","slots":4,)"
      R"("state":"ready","cold_remaining_ms":0,"sequence":1}})",
      address);
  view.ApplyChanges(StoreTable::kEndpoints, {{id, text, 10 + number, false}},
                    {0, 10 + number}, RowSource::kStore, transport.Now());
}

void ForwarderFixture::RestartEndpoint(int number) {
  std::string text = fmt::format(
      R"({{"service":"s","address":"10.0.0.{}:80","zone":"a","version":"v1",)"
      R"("slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,)"
      R"("born":77}})",
      number);
  constexpr int kRowVersion = 100;
  view.ApplyChanges(StoreTable::kEndpoints,
                    {{fmt::format("e{}", number), text, kRowVersion, false}},
                    {0, kRowVersion}, RowSource::kStore, transport.Now());
}

void ForwarderFixture::ApplyConfiguration(int version) {
  std::string text = kConfiguration;
  text.replace(text.find("\"version\":3"), 11,
               fmt::format("\"version\":{}", version));
  view.ApplyChanges(StoreTable::kOperator, {{"config", text, version, false}},
                    {0, version}, RowSource::kStore, transport.Now());
}

void ForwarderFixture::RemoveRecord(const std::string& endpoint) {
  view.ApplyChanges(StoreTable::kEndpoints, {{endpoint, "", 1000, true}},
                    {0, 1000}, RowSource::kStore, transport.Now());
}

std::string ForwarderFixture::AddressOf(const std::string& endpoint) const {
  for (const auto& [address, id] : addresses) {
    if (id == endpoint) {
      return address;
    }
  }
  return "";
}

void ForwarderFixture::OnConfiguration(const FleetConfiguration&) {
  forwarder.pool().SetConfiguration(view.configuration());
}

void ForwarderFixture::OnEndpoint(const RoutedEndpoint& record) {
  forwarder.pool().Update(record, transport.Now());
}

void ForwarderFixture::OnEndpointRemoved(const EndpointId& endpoint) {
  forwarder.OnEndpointRemoved(endpoint);
}

ConnectionId ForwarderFixture::Request(const std::string& method,
                                       const std::string& target,
                                       const std::string& id,
                                       const std::string& more_fields,
                                       const std::string& body) {
  ConnectionId caller = transport.Accept(&server);
  std::string text = method + " " + target +
                     " HTTP/1.1\r\nHost: h.example\r\n"
                     "Authorization: Bearer k1\r\n"
                     "Filbertshift-Attempt-Id: " +
                     id + "\r\n" + more_fields;
  if (!body.empty()) {
    text += fmt::format("Content-Length: {}\r\n", body.size());
  }
  transport.Receive(caller, text + "\r\n" + body);
  transport.Advance(milliseconds(2));
  return caller;
}

ForwarderFixture::Arrival ForwarderFixture::NextArrival() {
  for (int i = 0; i < 100; ++i) {
    for (const auto& [address, endpoint] : addresses) {
      for (ConnectionId connection : transport.OpenTo(address)) {
        std::string text = transport.TakeSent(connection);
        if (!text.empty()) {
          return {connection, endpoint, text};
        }
      }
    }
    transport.Advance(milliseconds(2));
  }
  return {};
}

bool ForwarderFixture::NothingArrives(milliseconds time) {
  transport.Advance(time);
  for (const auto& entry : addresses) {
    for (ConnectionId connection : transport.OpenTo(entry.first)) {
      if (!transport.At(connection).sent.empty()) {
        return false;
      }
    }
  }
  return true;
}

void ForwarderFixture::Respond(const Arrival& arrival,
                               const std::string& text) {
  transport.Receive(arrival.connection, text);
}

std::string ForwarderFixture::WholeResponse(int status,
                                            const std::string& id,
                                            const std::string& body,
                                            const std::string& more_fields) {
  return fmt::format(
      "HTTP/1.1 {} X\r\nFilbertshift-Attempt-Id: {}\r\n"
      "Filbertshift-Response-Seal: seal-{}\r\n{}Content-Length: {}\r\n\r\n{}",
      status, id, id, more_fields, body.size(), body);
}

std::string ForwarderFixture::StreamHead(const std::string& id,
                                         const std::string& more_fields) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: {}\r\n"
      "Filbertshift-Response-Seal: seal-{}\r\n{}"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id, more_fields);
}

std::string ForwarderFixture::Event(int number) {
  return SerializeChunk(fmt::format("id: {}\ndata: d{}\n\n", number, number));
}

}  // namespace filbertshift

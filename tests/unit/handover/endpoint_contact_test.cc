#include <catch2/catch.hpp>

#include "src/handover/handover.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

ContactTarget Target(const std::string& id,
                     const std::string& host,
                     const std::string& service,
                     const std::string& data_centre) {
  return {EndpointId(id), host, ServiceId(service), DataCentreId(data_centre)};
}

// Two services in two data centres.
std::vector<ContactTarget> Fleet() {
  return {Target("a1", "h1", "s", "a"), Target("a2", "h2", "s", "a"),
          Target("b1", "h3", "s", "b"), Target("b2", "h4", "s", "b"),
          Target("t1", "h5", "t", "a"), Target("t2", "h6", "t", "b")};
}

struct Contact : EndpointContact {
  Contact() { SetTargets(Fleet()); }
  void Fail(const std::string& id, milliseconds at) {
    OnConnectFailed(EndpointId(id), kStart + at);
  }
  void Connect(const std::string& id, milliseconds at) {
    OnConnected(EndpointId(id), kStart + at);
  }
  std::vector<EndpointId> Due(milliseconds at, bool waiting = true) {
    return TakeDueProbes(waiting ? std::make_optional(kStart) : std::nullopt,
                         kStart + at);
  }
};

TEST_CASE("contact is lost when all probes after a failed connect fail",
          "[handover]") {
  Contact contact;
  contact.Fail("a1", milliseconds(0));
  std::vector<EndpointId> due = contact.Due(milliseconds(0), false);
  REQUIRE(due.size() == 4);
  for (const EndpointId& endpoint : due) {
    CHECK_FALSE(contact.stranded());
    CHECK(contact.IsInDoubt(kStart + milliseconds(10)));
    contact.Fail(endpoint.value(), milliseconds(10));
  }
  CHECK(contact.stranded());
}

TEST_CASE("contact is kept while many endpoints are down at once",
          "[handover]") {
  Contact contact;
  for (const char* id : {"a1", "b1", "t1"}) {
    contact.Fail(id, milliseconds(0));
  }
  CHECK_FALSE(contact.stranded());
  std::vector<EndpointId> due = contact.Due(milliseconds(0), false);
  REQUIRE(due.size() == 3);
  contact.Fail(due[0].value(), milliseconds(1));
  contact.Fail(due[1].value(), milliseconds(1));
  CHECK_FALSE(contact.stranded());
  contact.Connect(due[2].value(), milliseconds(2));
  CHECK_FALSE(contact.IsInDoubt(kStart + milliseconds(2)));
}

TEST_CASE("contact is kept while one service or data centre is down",
          "[handover]") {
  Contact contact;
  bool service = GENERATE(true, false);
  for (const std::string& id :
       service ? std::vector<std::string>{"a1", "a2", "b1", "b2"}
               : std::vector<std::string>{"a1", "a2", "t1"}) {
    contact.Due(milliseconds(0), false);
    contact.Fail(id, milliseconds(0));
  }
  for (const ContactTarget& target : Fleet()) {
    contact.OnProbeAbandoned(target.endpoint);
  }
  contact.Due(milliseconds(1), false);
  CHECK_FALSE(contact.stranded());
}

TEST_CASE("one host with many endpoints is not all endpoints", "[handover]") {
  EndpointContact contact;
  contact.SetTargets({Target("1", "h", "s", "a"), Target("2", "h", "s", "a"),
                      Target("3", "h", "s", "a"), Target("4", "i", "s", "a")});
  for (const char* id : {"1", "2", "3"}) {
    contact.OnConnectFailed(EndpointId(id), kStart);
  }
  CHECK_FALSE(contact.stranded());
}

TEST_CASE("contact is kept while only other data centres are lost",
          "[handover]") {
  EndpointContact contact(DataCentreId("a"));
  contact.SetTargets(Fleet());
  contact.OnConnectFailed(EndpointId("b1"), kStart);
  std::vector<EndpointId> due = contact.TakeDueProbes(std::nullopt, kStart);
  REQUIRE(due.size() == 4);
  CHECK((due.front() == EndpointId("a1") || due.front() == EndpointId("a2") ||
         due.front() == EndpointId("t1")));
  for (const EndpointId& endpoint : due) {
    contact.OnProbeAbandoned(endpoint);
  }
  for (const char* id : {"b2", "t2"}) {
    contact.OnConnectFailed(EndpointId(id), kStart);
  }
  contact.TakeDueProbes(std::nullopt, kStart);
  CHECK_FALSE(contact.stranded());
}

TEST_CASE("a success ends the doubt", "[handover]") {
  Contact contact;
  contact.Fail("a1", milliseconds(0));
  contact.Fail("b1", milliseconds(0));
  contact.Connect("a2", milliseconds(5));
  CHECK_FALSE(contact.IsInDoubt(kStart + milliseconds(5)));
  contact.Fail("t1", milliseconds(10));
  CHECK_FALSE(contact.stranded());
}

TEST_CASE("failures that are far apart are not one event", "[handover]") {
  Contact contact;
  contact.Fail("a1", milliseconds(0));
  std::vector<EndpointId> due = contact.Due(milliseconds(0), false);
  REQUIRE(due.size() == 4);
  contact.Fail(due[0].value(), milliseconds(100));
  contact.Fail(due[1].value(), milliseconds(100));
  contact.Fail(due[2].value(), milliseconds(1200));
  contact.Fail(due[3].value(), milliseconds(1200));
  CHECK_FALSE(contact.stranded());
}

TEST_CASE("with few endpoints, all of them must fail", "[handover]") {
  EndpointContact contact;
  contact.SetTargets({Target("1", "h", "s", "a"), Target("2", "i", "s", "a")});
  contact.OnConnectFailed(EndpointId("1"), kStart);
  CHECK_FALSE(contact.stranded());
  contact.OnConnectFailed(EndpointId("2"), kStart);
  CHECK(contact.stranded());
  contact.SetTargets({});
  contact.TakeDueProbes(std::nullopt, kStart + milliseconds(300));
  CHECK_FALSE(contact.stranded());
}

TEST_CASE("a failure makes probes of other services and data centres due",
          "[handover]") {
  Contact contact;
  contact.Fail("a1", milliseconds(0));
  std::vector<EndpointId> due = contact.Due(milliseconds(0), false);
  REQUIRE(due.size() == 4);
  CHECK(due.front().value()[0] == 't');
  CHECK(contact.Due(milliseconds(50), false).empty());
}

TEST_CASE("silence of all endpoints makes one probe due", "[handover]") {
  Contact contact;
  CHECK(contact.Due(milliseconds(200)).empty());
  CHECK(contact.Due(milliseconds(300)).size() == 1);
  contact.Connect("a1", milliseconds(302));
  CHECK(contact.Due(milliseconds(700)).empty());
  CHECK(contact.Due(milliseconds(1300)).size() == 1);
  CHECK(contact.Due(milliseconds(9000), false).empty());
  contact.OnBytes(kStart + milliseconds(8900));
  CHECK(contact.Due(milliseconds(9000)).empty());
}

TEST_CASE("contact is regained when two endpoints accept connections",
          "[handover]") {
  Contact contact;
  for (const ContactTarget& target : Fleet()) {
    contact.Fail(target.endpoint.value(), milliseconds(0));
  }
  REQUIRE(contact.stranded());
  int probes = 0;
  for (int ms = 0; ms < 1000; ms += 50) {
    std::vector<EndpointId> due = contact.Due(milliseconds(ms), false);
    CHECK(due.size() <= 2);
    probes += static_cast<int>(due.size());
    for (const EndpointId& endpoint : due) {
      contact.Fail(endpoint.value(), milliseconds(ms));
    }
  }
  CHECK(probes >= 4);
  CHECK(probes <= 8);
  contact.Connect("a1", milliseconds(1000));
  contact.Connect("a1", milliseconds(1010));
  contact.Fail("t1", milliseconds(1020));
  CHECK(contact.stranded());
  contact.Connect("b2", milliseconds(1100));
  CHECK_FALSE(contact.stranded());
  CHECK_FALSE(contact.IsInDoubt(kStart + milliseconds(1100)));
}

TEST_CASE("contact is regained when one of two endpoints returns",
          "[handover]") {
  Contact contact;
  contact.SetTargets(
      {Target("a1", "h1", "s", "a"), Target("a2", "h2", "s", "a")});
  contact.Fail("a1", milliseconds(0));
  contact.Fail("a2", milliseconds(0));
  REQUIRE(contact.stranded());
  for (milliseconds at{250}; at < milliseconds(10000); at += milliseconds(50)) {
    for (const EndpointId& endpoint : contact.Due(at)) {
      if (endpoint.value() == "a1") {
        contact.Connect("a1", at);
      } else {
        contact.Fail("a2", at);
      }
    }
  }
  CHECK_FALSE(contact.stranded());
}

TEST_CASE("contact is regained soon when few of many endpoints return",
          "[handover]") {
  Contact contact;
  std::vector<ContactTarget> targets;
  for (int i = 0; i < 120; ++i) {
    targets.push_back(Target("e" + std::to_string(i), "h" + std::to_string(i),
                             "s", i % 2 == 0 ? "a" : "b"));
  }
  contact.SetTargets(targets);
  for (const ContactTarget& target : targets) {
    contact.Fail(target.endpoint.value(), milliseconds(0));
  }
  for (const EndpointId& endpoint : contact.Due(milliseconds(0))) {
    contact.Fail(endpoint.value(), milliseconds(0));
  }
  REQUIRE(contact.stranded());
  milliseconds at{250};
  for (; contact.stranded() && at < milliseconds(60000);
       at += milliseconds(50)) {
    for (const EndpointId& endpoint : contact.Due(at)) {
      if (endpoint.value() < "e102") {  // e0, e1, e10, e100, e101
        contact.Connect(endpoint.value(), at);
      } else {
        contact.Fail(endpoint.value(), at);
      }
    }
  }
  CAPTURE(at.count());
  CHECK(at < milliseconds(5000));
}

TEST_CASE("contact is kept while half of the endpoints are down",
          "[handover]") {
  Contact contact;
  std::vector<ContactTarget> targets;
  for (int i = 0; i < 40; ++i) {
    targets.push_back(Target("e" + std::to_string(i), "h" + std::to_string(i),
                             "s" + std::to_string(i % 3),
                             i % 2 == 0 ? "a" : "b"));
  }
  contact.SetTargets(targets);
  auto is_down = [](const EndpointId& endpoint) {
    return std::stoi(endpoint.value().substr(1)) % 4 < 2;
  };
  int losses = 0;
  bool was_stranded = false;
  for (milliseconds at{0}; at < milliseconds(60000); at += milliseconds(50)) {
    auto number = static_cast<std::size_t>(at.count() / 50 * 7 % 40);
    if (!contact.stranded() && is_down(targets[number].endpoint)) {
      contact.Fail(targets[number].endpoint.value(), at);
    }
    for (const EndpointId& endpoint : contact.Due(at)) {
      if (is_down(endpoint)) {
        contact.Fail(endpoint.value(), at);
      } else {
        contact.Connect(endpoint.value(), at);
      }
    }
    losses += contact.stranded() && !was_stranded ? 1 : 0;
    was_stranded = contact.stranded();
  }
  CHECK(losses == 0);
}

}  // namespace
}  // namespace filbertshift

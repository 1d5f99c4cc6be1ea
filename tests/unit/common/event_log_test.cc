// Tests the event catalogue and the bounded queue.

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <thread>

#include "src/common/common.h"

namespace filbertshift {
namespace {

// Guards against a failing lookup because the table is not sorted or contains a
// number twice.
TEST_CASE("event definitions are ordered and unique", "[common]") {
  const auto& definitions = EventDefinitions();
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < definitions.size(); ++i) {
    CHECK(names.insert(definitions[i].name).second);
    CHECK(FindEventDefinition(definitions[i].id).name == definitions[i].name);
    if (i > 0) {
      CHECK(definitions[i - 1].id < definitions[i].id);
    }
  }
}

// Guards against a documented event catalogue that is out of date.
TEST_CASE("docs/events.md lists every event", "[common]") {
  std::ifstream file(FILBERTSHIFT_SOURCE_DIR "/docs/events.md");
  std::stringstream page;
  page << file.rdbuf();
  std::size_t rows = 0;
  std::string line;
  while (std::getline(page, line)) {
    rows += line.rfind("| FS", 0) == 0 ? 1 : 0;
  }
  CHECK(rows == EventDefinitions().size());
  for (const EventDefinition& definition : EventDefinitions()) {
    std::ostringstream row;
    row << "| FS" << static_cast<int>(definition.id) << " | "
        << SeverityName(definition.severity) << " | " << definition.name
        << " | " << definition.description << " |";
    INFO(row.str());
    CHECK(page.str().find(row.str()) != std::string::npos);
  }
}

// Guards against a lost wake-up between a producer and the waiting consumer.
TEST_CASE("bounded ring delivers every item in order", "[common]") {
  constexpr int kItems = 20000;
  BoundedRing<int> ring(64);
  std::thread producer([&ring] {
    for (int i = 0; i < kItems;) {
      if (ring.TryPush(int(i))) {
        ++i;
      } else {
        std::this_thread::yield();
      }
    }
  });
  std::vector<int> received;
  while (received.size() < kItems) {
    ring.Wait(std::chrono::milliseconds(1000));
    std::vector<int> batch;
    ring.PopAll(&batch);
    REQUIRE(!batch.empty());
    received.insert(received.end(), batch.begin(), batch.end());
  }
  producer.join();
  for (int i = 0; i < kItems; ++i) {
    REQUIRE(received[i] == i);
  }
}

// Guards against unbounded memory use when the consumer is slow.
TEST_CASE("bounded ring refuses items beyond its capacity", "[common]") {
  BoundedRing<int> ring(2);
  CHECK(ring.TryPush(1));
  CHECK(ring.TryPush(2));
  CHECK_FALSE(ring.TryPush(3));
  CHECK(ring.Size() == 2);
}

}  // namespace
}  // namespace filbertshift

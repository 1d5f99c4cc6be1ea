// Tests of the bytes that wait to be sent on a connection.

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>

#include "src/net/net.h"

namespace filbertshift {
namespace {

// Guards against bytes that are lost, repeated or out of order.
TEST_CASE("queued bytes leave in order", "[net]") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    SendQueue queue;
    std::string expected;
    std::string sent;
    for (int step = 0; step < 500; ++step) {
      std::string data(random() % 9000, static_cast<char>('a' + step % 26));
      switch (random() % 3) {
        case 0:
          queue.Append(data);
          expected += data;
          break;
        case 1:
          queue.Append(std::make_shared<const std::string>(data));
          expected += data;
          break;
        default: {
          std::string_view front = queue.front();
          std::size_t bytes = front.empty() ? 0 : random() % front.size() + 1;
          sent += front.substr(0, bytes);
          queue.Remove(bytes);
        }
      }
      REQUIRE(queue.size() == expected.size() - sent.size());
      REQUIRE(queue.empty() == (queue.size() == 0));
    }
    while (!queue.empty()) {
      sent += queue.front();
      queue.Remove(queue.front().size());
    }
    CHECK(sent == expected);
  }
}

// Guards against memory that a connection keeps after its bytes are sent.
TEST_CASE("sent bytes are released", "[net]") {
  SendQueue queue;
  auto body = std::make_shared<const std::string>(100, 'b');
  queue.Append(std::string_view("head"));
  queue.Append(body);
  CHECK(body.use_count() == 2);
  queue.Remove(4);
  queue.Remove(100);
  CHECK(queue.empty());
  CHECK(body.use_count() == 1);
}

// Guards against memory that is held and not counted: the peer of a connection
// may read nearly all of a large piece and stop.
TEST_CASE("a piece counts whole until it is sent", "[net]") {
  constexpr std::size_t kBytes = 4000000;
  SendQueue queue;
  CHECK(queue.memory() == 0);
  queue.Append(std::make_shared<const std::string>(kBytes, 'b'));
  queue.Remove(kBytes - 1);
  CHECK(queue.size() == 1);
  CHECK(queue.memory() >= kBytes);
  queue.Remove(1);
  CHECK(queue.memory() == 0);
  // Small pieces are gathered in blocks, which are freed one by one.
  std::size_t sent = 0;
  for (int i = 0; i < 2000; ++i) {
    queue.Append(std::string(100, 'x'));
    REQUIRE(queue.memory() >= queue.size());
    REQUIRE(queue.memory() <= 2 * queue.size() + 4096);
  }
  while (queue.size() > 1) {
    std::size_t bytes = std::min<std::size_t>(queue.size() - 1, 777);
    bytes = std::min(bytes, queue.front().size());
    queue.Remove(bytes);
    sent += bytes;
    REQUIRE(queue.memory() >= queue.size());
  }
  CHECK(sent == 199999);
  CHECK(queue.memory() <= 32768);
  queue.Clear();
  CHECK(queue.memory() == 0);
}

}  // namespace
}  // namespace filbertshift

// Tests which instances read the store and how the others react to a failure.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <set>

#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

std::vector<LiveInstance> Instances(int count) {
  std::vector<LiveInstance> live;
  for (int i = 0; i < count; ++i) {
    live.push_back({InstanceId(fmt::format("i{}", i)), fmt::format("p{}", i)});
  }
  return live;
}

// Guards against store load that grows with every instance, and against
// instances that read from each other with none reading the store.
TEST_CASE("a few instances read the store for all", "[fleet]") {
  TimePoint now{std::chrono::hours(1)};
  for (int count : {1, 2, 4, 26, 340}) {
    INFO(count);
    std::vector<LiveInstance> live = Instances(count);
    std::set<std::string> readers;
    std::set<std::string> read;
    for (const LiveInstance& entry : live) {
      ReaderSelector choice(entry.instance);
      choice.SetInstances(live);
      if (choice.IsReader()) {
        readers.insert(entry.peer_address);
        CHECK_FALSE(choice.CurrentReader(now).has_value());
      } else {
        REQUIRE(choice.CurrentReader(now).has_value());
        read.insert(choice.CurrentReader(now)->peer_address);
      }
    }
    CHECK(readers.size() == static_cast<std::size_t>((count + 15) / 16));
    CHECK(std::includes(readers.begin(), readers.end(), read.begin(),
                        read.end()));
  }
}

// Guards against an instance that keeps reading from a failed reader.
TEST_CASE("the store is read after a reader has failed", "[fleet]") {
  TimePoint now{std::chrono::hours(1)};
  std::vector<LiveInstance> live = Instances(4);
  for (const LiveInstance& entry : live) {
    ReaderSelector choice(entry.instance);
    choice.SetInstances(live);
    std::optional<LiveInstance> reader = choice.CurrentReader(now);
    if (!reader.has_value()) {
      continue;
    }
    choice.OnReaderFailed(reader->instance, now);
    CHECK_FALSE(choice.CurrentReader(now).has_value());
    CHECK_FALSE(choice.CurrentReader(now + milliseconds(11900)).has_value());
    CHECK(choice.CurrentReader(now + milliseconds(12000))->instance ==
          reader->instance);
    // Another instance replaces the failed reader.
    std::vector<LiveInstance> rest;
    for (const LiveInstance& other : live) {
      if (other.instance != reader->instance) {
        rest.push_back(other);
      }
    }
    choice.SetInstances(rest);
    CHECK_FALSE(choice.CurrentReader(now + milliseconds(2900)).has_value());
    CHECK((choice.IsReader() ||
           choice.CurrentReader(now + milliseconds(3000)).has_value()));
  }
}

// Guards against instances that all read the store for a long time because
// their reader was lost or was turned away by the store for a moment.
TEST_CASE("another reader takes the place of one that fails", "[fleet]") {
  TimePoint now{std::chrono::hours(1)};
  std::vector<LiveInstance> live = Instances(118);
  int followers = 0;
  for (const LiveInstance& entry : live) {
    ReaderSelector choice(entry.instance);
    choice.SetInstances(live);
    std::optional<LiveInstance> reader = choice.CurrentReader(now);
    if (!reader.has_value()) {
      continue;
    }
    ++followers;
    ReaderSelector lost = choice;
    lost.OnReaderFailed(reader->instance, now);
    CHECK_FALSE(lost.CurrentReader(now + milliseconds(2900)).has_value());
    std::optional<LiveInstance> next =
        lost.CurrentReader(now + milliseconds(3000));
    REQUIRE(next.has_value());
    CHECK(next->instance != reader->instance);
    CHECK(lost.CurrentReader(now + milliseconds(12000))->instance ==
          reader->instance);
    ReaderSelector outdated = choice;
    outdated.OnReaderOutdated(reader->instance, now);
    CHECK_FALSE(outdated.CurrentReader(now + milliseconds(1400)).has_value());
    CHECK(outdated.CurrentReader(now + milliseconds(1500)).has_value());
    CHECK(outdated.CurrentReader(now + milliseconds(4000))->instance ==
          reader->instance);
  }
  CHECK(followers == 118 - 8);
}

}  // namespace
}  // namespace filbertshift

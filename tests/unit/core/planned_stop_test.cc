// Tests what a planned stop of the daemon waits for.

#include <catch2/catch.hpp>

#include "tests/unit/core/core_fixture.h"

namespace filbertshift {
namespace {

// Guards against a charge that is lost because the only peer that holds it is
// stopped before it has taken it over.
TEST_CASE("a planned stop stores the completions of lost peers", "[core]") {
  CoreFixture fixture;
  InstanceId owner("entry-1");
  PeerExecutionReplica copy;
  copy.account = AccountId("museum");
  copy.idempotency_key = "k1";
  copy.owner_token = "token";
  copy.request_hash = "h1";
  copy.value = "{}";
  copy.sequence = 1;
  fixture.core.Handle(PeerUp{owner});
  fixture.core.Handle(PeerReceived{owner, copy});
  fixture.core.Handle(PeerDown{owner});
  fixture.core.Handle(ShutdownRequested());
  for (int i = 0; i < 100 && !fixture.core.IsDrained(); ++i) {
    fixture.Advance(std::chrono::milliseconds(100));
  }
  CHECK(fixture.core.IsDrained());
  CHECK(fixture.store.Count("exec/") == 1);
}

}  // namespace
}  // namespace filbertshift

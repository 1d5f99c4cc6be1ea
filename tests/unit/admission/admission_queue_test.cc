// Tests of AdmissionQueue.

#include <catch2/catch.hpp>

#include <map>

#include "src/admission/admission.h"
#include "tests/unit/routing/routing_fixture.h"

namespace filbertshift {
namespace {

using namespace routing_test;  // NOLINT

QueuedRequest MakeRequest(int number,
                          const std::string& account,
                          int priority = 0) {
  QueuedRequest request;
  request.request = RequestId(fmt::format("r{}", number));
  request.account = AccountId(account);
  request.quality_class = priority == 0 ? "lookup" : "draft";
  request.priority = priority;
  request.deadline = At(Millis(1000));
  return request;
}

// Drains the queue, starting at most `room` requests, and returns the accounts
// of the started ones.
std::vector<std::string> Start(AdmissionQueue* queue, int room) {
  std::vector<std::string> started;
  queue->Drain([&](const QueuedRequest& request) {
    if (static_cast<int>(started.size()) >= room) {
      return false;
    }
    started.push_back(request.account.value());
    return true;
  });
  return started;
}

std::map<std::string, int> Count(const std::vector<std::string>& names) {
  std::map<std::string, int> counts;
  for (const std::string& name : names) {
    ++counts[name];
  }
  return counts;
}

// Guards against high-priority requests that wait behind earlier low-priority
// ones.
TEST_CASE("a higher priority always goes first", "[routing]") {
  AdmissionQueue queue;
  for (int i = 0; i < 100; ++i) {
    REQUIRE(queue.Push(MakeRequest(i, "large", 5), 1000));
  }
  REQUIRE(queue.Push(MakeRequest(100, "small", 0), 1000));
  CHECK(Start(&queue, 2) == std::vector<std::string>{"small", "large"});
  CHECK(queue.SizeOfClass("draft") == 99);
  CHECK(queue.SizeOfClass("lookup") == 0);
}

// Guards against a large account that starves a small one that arrives later.
TEST_CASE("accounts are served by weight, not by number", "[routing]") {
  AdmissionQueue queue;
  int number = 0;
  for (int i = 0; i < 400; ++i) {
    QueuedRequest request = MakeRequest(number++, "large");
    request.weight = 3;
    request.target = i % 2 == 0 ? "v1" : "v2";
    REQUIRE(queue.Push(request, 1000));
  }
  CHECK(Start(&queue, 100).size() == 100);
  for (int i = 0; i < 100; ++i) {
    QueuedRequest request = MakeRequest(number++, "small");
    request.target = "v1";
    REQUIRE(queue.Push(request, 1000));
  }
  auto counts = Count(Start(&queue, 100));
  CHECK(counts["large"] >= 74);
  CHECK(counts["small"] >= 24);
}

// Guards against an account that exceeds its share with few but expensive
// requests.
TEST_CASE("expected work counts, not the number of requests", "[routing]") {
  AdmissionQueue queue;
  for (int i = 0; i < 200; ++i) {
    QueuedRequest request = MakeRequest(i, i % 2 == 0 ? "long" : "short");
    request.cost = i % 2 == 0 ? 900 : 100;
    REQUIRE(queue.Push(request, 1000));
  }
  auto counts = Count(Start(&queue, 50));
  CHECK(counts["short"] == 45);
  CHECK(counts["long"] == 5);
}

// Guards against an account that is charged for expired requests and starved
// afterwards.
TEST_CASE("expired requests are not charged", "[routing]") {
  AdmissionQueue queue;
  int number = 0;
  for (int i = 0; i < 500; ++i) {
    REQUIRE(queue.Push(MakeRequest(number++, "expiring"), 1000));
  }
  REQUIRE(queue.Push(MakeRequest(number++, "other"), 1000));
  CHECK(queue.Expire(At(Millis(999))).empty());
  for (int i = 0; i < 50; ++i) {
    for (const char* account : {"expiring", "other"}) {
      QueuedRequest request = MakeRequest(number++, account);
      request.deadline = At(Millis(5000));
      REQUIRE(queue.Push(request, 1000));
    }
  }
  CHECK(queue.Expire(At(Millis(1000))).size() == 501);
  CHECK(Count(Start(&queue, 40))["expiring"] == 20);
}

// Guards against requests for a busy model that block those for idle models,
// and against a number of offers that grows with the queue length.
TEST_CASE("a blocked target does not hold back others", "[routing]") {
  AdmissionQueue queue;
  for (int i = 0; i < 500; ++i) {
    QueuedRequest request = MakeRequest(i, "large", i % 2);
    request.target = "busy";
    REQUIRE(queue.Push(request, 1000));
  }
  QueuedRequest other = MakeRequest(500, "large", 1);
  other.target = "idle";
  REQUIRE(queue.Push(other, 1000));
  int offers = 0;
  std::vector<RequestId> started;
  queue.Drain([&](const QueuedRequest& request) {
    ++offers;
    if (request.target == "idle") {
      started.push_back(request.request);
    }
    return request.target == "idle";
  });
  CHECK(started == std::vector<RequestId>{other.request});
  CHECK(offers == 2);
}

// Guards against a request with individual constraints that blocks other
// requests without a target.
TEST_CASE("requests without a target are all offered", "[routing]") {
  AdmissionQueue queue;
  for (int i = 0; i < 10; ++i) {
    REQUIRE(queue.Push(MakeRequest(i, "account"), 1000));
  }
  std::vector<RequestId> started;
  queue.Drain([&](const QueuedRequest& request) {
    if (request.request == RequestId("r7")) {
      started.push_back(request.request);
    }
    return request.request == RequestId("r7");
  });
  CHECK(started.size() == 1);
  CHECK(queue.size() == 9);
}

// Guards against unbounded classes, duplicate requests and stale entries of
// removed requests.
TEST_CASE("the queue is bounded and removes requests", "[routing]") {
  AdmissionQueue queue;
  CHECK(queue.Push(MakeRequest(1, "a"), 2));
  CHECK_THROWS_AS(queue.Push(MakeRequest(1, "a"), 2), std::invalid_argument);
  CHECK(queue.Push(MakeRequest(2, "b"), 2));
  CHECK_FALSE(queue.Push(MakeRequest(3, "c"), 2));
  CHECK(queue.Push(MakeRequest(3, "c", 1), 2));
  CHECK(queue.Remove(RequestId("r1")));
  CHECK_FALSE(queue.Remove(RequestId("r1")));
  CHECK(Start(&queue, 10) == std::vector<std::string>{"b", "c"});
  CHECK(queue.size() == 0);
  CHECK(queue.Expire(At(Millis(9999))).empty());
}

// Guards against lost, duplicated or misordered requests under random sequences
// of operations.
TEST_CASE("random operations keep the queue consistent", "[routing]") {
  std::mt19937_64 random(TestSeed("admission queue"));
  AdmissionQueue queue;
  std::map<RequestId, QueuedRequest> waiting;
  for (int i = 0; i < 20000; ++i) {
    const int action = Pick(random, 0, 9);
    if (action < 6) {
      QueuedRequest request = MakeRequest(
          i, fmt::format("a{}", Pick(random, 0, 4)), Pick(random, 0, 2));
      request.target = fmt::format("t{}", Pick(random, 0, 3));
      request.cost = Pick(random, 0, 50);
      request.deadline = At(Millis(i + Pick(random, 0, 400)));
      REQUIRE(queue.Push(request, 100000));
      waiting[request.request] = request;
    } else if (action == 6) {
      const RequestId id(fmt::format("r{}", Pick(random, 0, i)));
      REQUIRE(queue.Remove(id) == (waiting.erase(id) > 0));
    } else if (action == 7) {
      for (const QueuedRequest& expired : queue.Expire(At(Millis(i)))) {
        REQUIRE(expired.deadline <= At(Millis(i)));
        REQUIRE(waiting.erase(expired.request) == 1);
      }
    } else {
      int room = Pick(random, 0, 8);
      std::map<std::string, int> last_priority;
      queue.Drain([&](const QueuedRequest& request) {
        REQUIRE(request.priority >= last_priority[request.target]);
        last_priority[request.target] = request.priority;
        return room-- > 0 && waiting.erase(request.request) == 1;
      });
    }
    REQUIRE(queue.size() == waiting.size());
  }
}

}  // namespace
}  // namespace filbertshift

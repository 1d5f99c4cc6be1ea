// Finds prompt parts and requests that crash every endpoint that begins to
// answer them, and blocks them. The evidence is gathered by all instances: each
// sees only the requests that it sent to a crashed endpoint.
//
// A crash takes along every request on the endpoint, so it says little by
// itself. A cause is blocked if so many crashes have it in common, while no
// request with it was answered anywhere, that a sound one is unlikely to have
// met them at the rate at which requests of the service meet crashes.

#ifndef SRC_DISPATCH_PROMPT_QUARANTINE_H_
#define SRC_DISPATCH_PROMPT_QUARANTINE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/common/common.h"
#include "src/dispatch/sliding_counter.h"

namespace filbertshift {

// The possible causes in one request.
struct CrashProfile {
  ServiceId service;
  // The request itself: the same if its caller sends it again.
  CauseId request;
  // Prompt parts that other requests may share, in order.
  std::vector<CauseId> parts;
};

// `shared_parts`: ids of the parts, without those that belong to the request.
CrashProfile MakeCrashProfile(const ServiceId& service,
                              Fingerprint request,
                              const std::vector<std::string>& shared_parts);

// What instances tell each other. Ages count from the time of sending.
struct CrashEvidence {
  struct Crash {
    EndpointId endpoint;
    std::chrono::milliseconds age{0};
    // Requests that ran or waited there and had not been answered.
    std::vector<CrashProfile> waiting;
  };
  // A request with the cause was answered.
  struct Answer {
    CauseId cause;
    std::chrono::milliseconds age{0};
  };
  struct Block {
    CauseId cause;
    std::chrono::milliseconds age{0};
    // Trials after which the cause has crashed an endpoint again.
    int strikes = 0;
  };
  std::vector<Crash> crashes;
  std::vector<Answer> answers;
  std::vector<Block> blocks;

  bool empty() const {
    return crashes.empty() && answers.empty() && blocks.empty();
  }
};

class PromptQuarantine {
 public:
  struct Admission {
    bool allowed = true;
    CauseId cause;
    // Until the next trial of the cause.
    std::chrono::milliseconds retry_after{0};
  };
  // A cause that was blocked or is no longer blocked, for the log.
  struct Change {
    CauseId cause;
    bool blocked = false;
    int crashes = 0;
    int strikes = 0;
  };

  // Position of this instance among all, in an order that depends on the cause.
  struct TrialTurn {
    int rank = 0;
    int instances = 1;
  };
  // Instances make the trials of a lapsed block in turns, one at a time.
  void SetTrialTurn(std::function<TrialTurn(const CauseId&)> turn) {
    trial_turn_ = std::move(turn);
  }

  // Whether the request may be sent. A request admitted as a trial counts as
  // running until it is answered, crashes an endpoint, or a time limit.
  Admission Admit(const CrashProfile& profile, TimePoint now);
  // Whether requests with each of the parts were answered recently.
  bool IsCleared(const CrashProfile& profile, TimePoint now) const;

  // The endpoint crashed while these requests of this instance had not been
  // answered. May be called repeatedly for one crash.
  void OnCrash(const EndpointId& endpoint,
               const std::vector<CrashProfile>& waiting,
               TimePoint now);
  // A request of this instance was answered, or its answer goes on.
  void OnAnswered(const CrashProfile& profile, TimePoint now);

  // Without crashes younger than `min_age`: most of what they took along is
  // answered elsewhere by then and need not be told.
  CrashEvidence Export(std::chrono::milliseconds min_age, TimePoint now) const;
  void Merge(const CrashEvidence& evidence, TimePoint now);
  // Ends a block that another instance has ended.
  void Release(const CauseId& cause);

  // Blocks the causes that the evidence is sufficient for.
  void Evaluate(TimePoint now);
  // Removes evidence that is too old.
  void Expire(TimePoint now);
  // Changes since the latest call.
  std::vector<Change> TakeChanges();

  struct Block {
    TimePoint since;
    int strikes = 0;
    // Latest trial; unset if there was none since the block lapsed.
    std::optional<TimePoint> trial_at;
    TimePoint last_request{};
  };
  const std::map<CauseId, Block>& blocks() const { return blocks_; }
  // Increases with each change that this instance has to tell the others.
  std::uint64_t revision() const { return revision_; }

 private:
  struct Crash {
    EndpointId endpoint;
    TimePoint at;
    std::vector<CrashProfile> waiting;
    // Requests of this instance that the crash took along.
    int own_requests = 0;
  };
  // Requests of one service that this instance sent.
  struct Outcomes {
    SlidingCounter answered;
    SlidingCounter crashed;
  };
  // What the crashes since its latest answer say about one cause.
  struct Suspicion {
    ServiceId service;
    int crashes = 0;
    // Requests of this instance in these crashes.
    int own_requests = 0;
    TimePoint first;
    TimePoint last;
    std::set<CauseId> requests;
    std::size_t position = 0;
    bool is_request = false;
  };

  // Returns whether the crash or a request in it is new.
  bool AddCrash(const EndpointId& endpoint,
                const std::vector<CrashProfile>& waiting,
                TimePoint at);
  // Blocks lapsed causes again that a crash has in common with their trial.
  void RenewBlocks(const std::vector<CrashProfile>& waiting, TimePoint at);
  void RecordAnswer(const CauseId& cause, TimePoint at);
  // Returns false if there is no room for one more block.
  bool StartBlock(const CauseId& cause,
                  TimePoint since,
                  int strikes,
                  int crashes);
  void EndBlock(const CauseId& cause);
  // Removes the causes that were answered at or after the time.
  CrashProfile WithoutCleared(const CrashProfile& profile, TimePoint at) const;
  bool IsAnsweredSince(const CauseId& cause, TimePoint time) const;
  void RemoveCleared(const CauseId& cause, TimePoint answered);
  bool IsExplained(const Crash& crash) const;
  bool IsLapsed(const Block& block, TimePoint now) const;
  bool IsTrialDue(const CauseId& cause,
                  const Block& block,
                  TimePoint now) const;
  std::map<CauseId, Suspicion> Suspicions() const;
  bool IsSufficient(const CauseId& cause,
                    const Suspicion& suspicion,
                    TimePoint now);
  // Crashes that a sound cause is unlikely to meet, judged by the other
  // crashes: those of a crashing part alone would raise the number as fast as
  // they come.
  double RequiredCrashes(const Suspicion& suspicion, TimePoint now);
  // By the outcomes of this time.
  double RequiredCrashesAt(const Suspicion& suspicion,
                           TimePoint from,
                           TimePoint to);
  Outcomes& OutcomesOf(const ServiceId& service);

  std::function<TrialTurn(const CauseId&)> trial_turn_ = [](const CauseId&) {
    return TrialTurn();
  };
  // Invariant: in the order of `at`; none has a blocked cause or one that was
  // answered since.
  std::deque<Crash> crashes_;
  // Causes of crashes that this instance cleared by an answer, for the others.
  std::map<CauseId, TimePoint> cleared_;
  // Time of the latest answer to a request with the cause.
  std::unordered_map<CauseId, TimePoint> answers_;
  std::map<ServiceId, Outcomes> outcomes_;
  std::map<CauseId, Block> blocks_;
  std::vector<Change> changes_;
  std::uint64_t revision_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_PROMPT_QUARANTINE_H_

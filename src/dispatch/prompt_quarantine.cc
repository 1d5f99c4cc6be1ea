#include "src/dispatch/prompt_quarantine.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Reports of one endpoint within this time are about the same crash: an
// endpoint takes seconds to come back.
constexpr milliseconds kSameCrash{1500};
constexpr double kMinCrashes = 3;
constexpr milliseconds kMinSpan{150};
// Distinct requests among them, so that one request is not taken for its parts.
constexpr std::size_t kMinRequests = 2;
// A cause that was answered before needs more: a part in wide use takes part in
// most crashes, whatever their cause.
constexpr double kMoreCrashesIfAnswered = 2;
constexpr milliseconds kMinSpanIfAnswered{1000};
// Bound on the probability that a sound cause meets so many crashes in a row.
constexpr double kFalseBlockProbability = 1e-5;
// Outcomes over which the rate of crashes is estimated.
constexpr milliseconds kOutcomeWindow{5000};
constexpr milliseconds kOutcomeSlice{100};
// After its last crash, a cause is also judged by answers within this time:
// answers later than that may come from the time after an outage.
constexpr milliseconds kAnswersAfterCrash{500};
constexpr milliseconds kCrashRetention{60000};
constexpr milliseconds kOutcomeRetention = kCrashRetention + kOutcomeWindow;
constexpr milliseconds kAnswerRetention{60000};
// Crashes of a request alone, without parts that it shares with others.
constexpr milliseconds kRequestRetention{30000};
// For how long an instance tells the others that it cleared a cause.
constexpr milliseconds kClearedRetention{5000};
// A block lapses after this time and is then tried; each trial that crashes an
// endpoint doubles the time.
constexpr milliseconds kBlockTime{600000};
constexpr int kMaxDoublings = 5;
// Turn of an instance, in which it sends at most one request as a trial.
constexpr milliseconds kTrialTime{30000};
// A lapsed block without requests is removed after this time.
constexpr milliseconds kUnusedBlockRetention{3600000};
constexpr std::size_t kMaxCrashes = 512;
constexpr std::size_t kMaxWaiting = 64;
constexpr std::size_t kMaxAnswers = 20000;
constexpr std::size_t kMaxBlocks = 1000;
constexpr std::size_t kMaxParts = 16;
constexpr std::size_t kMaxIdBytes = 64;

// Ids come from callers and become keys of rows: what is too long or no plain
// text is replaced by its hash.
std::string KeyText(const std::string& text) {
  bool plain = text.size() <= kMaxIdBytes &&
               std::all_of(text.begin(), text.end(), [](unsigned char byte) {
                 return byte > ' ' && byte < 0x7f && byte != '/';
               });
  return plain
             ? text
             : fmt::format("hash-{:016x}", XXH64(text.data(), text.size(), 0));
}

std::vector<CauseId> CausesOf(const CrashProfile& profile) {
  std::vector<CauseId> causes = profile.parts;
  causes.push_back(profile.request);
  return causes;
}

milliseconds BlockTime(int strikes) {
  return kBlockTime * (1 << std::min(strikes, kMaxDoublings));
}

}  // namespace

CrashProfile MakeCrashProfile(const ServiceId& service,
                              Fingerprint request,
                              const std::vector<std::string>& shared_parts) {
  CrashProfile profile;
  profile.service = service;
  profile.request =
      CauseId(fmt::format("request/{}/{:016x}", KeyText(service.value()),
                          static_cast<std::uint64_t>(request)));
  for (const std::string& part : shared_parts) {
    if (profile.parts.size() < kMaxParts && !part.empty()) {
      profile.parts.emplace_back(
          fmt::format("part/{}/{}", KeyText(service.value()), KeyText(part)));
    }
  }
  return profile;
}

PromptQuarantine::Admission PromptQuarantine::Admit(const CrashProfile& profile,
                                                    TimePoint now) {
  if (blocks_.empty()) {
    return {};
  }
  std::vector<Block*> trials;
  for (const CauseId& cause : CausesOf(profile)) {
    auto found = blocks_.find(cause);
    if (found == blocks_.end()) {
      continue;
    }
    Block& block = found->second;
    block.last_request = now;
    if (!IsLapsed(block, now)) {
      auto left = block.since + BlockTime(block.strikes) - now;
      return {false, cause, duration_cast<milliseconds>(left)};
    }
    if (!IsTrialDue(cause, block, now)) {
      return {false, cause, kTrialTime};
    }
    trials.push_back(&block);
  }
  for (Block* block : trials) {
    block->trial_at = now;
  }
  return {};
}

bool PromptQuarantine::IsTrialDue(const CauseId& cause,
                                  const Block& block,
                                  TimePoint now) const {
  TrialTurn turn = trial_turn_(cause);
  auto lapsed = now - block.since - BlockTime(block.strikes);
  bool own_turn = lapsed / kTrialTime % std::max(turn.instances, 1) ==
                  std::min(turn.rank, std::max(turn.instances, 1) - 1);
  return own_turn &&
         (!block.trial_at.has_value() || now - *block.trial_at >= kTrialTime);
}

bool PromptQuarantine::IsCleared(const CrashProfile& profile,
                                 TimePoint now) const {
  return std::all_of(profile.parts.begin(), profile.parts.end(),
                     [&](const CauseId& part) {
                       return IsAnsweredSince(part, now - kAnswerRetention);
                     });
}

bool PromptQuarantine::IsAnsweredSince(const CauseId& cause,
                                       TimePoint time) const {
  auto found = answers_.find(cause);
  return found != answers_.end() && found->second >= time;
}

CrashProfile PromptQuarantine::WithoutCleared(const CrashProfile& profile,
                                              TimePoint at) const {
  CrashProfile rest{profile.service, profile.request, {}};
  for (const CauseId& part : profile.parts) {
    if (!IsAnsweredSince(part, at)) {
      rest.parts.push_back(part);
    }
  }
  return rest;
}

void PromptQuarantine::OnCrash(const EndpointId& endpoint,
                               const std::vector<CrashProfile>& waiting,
                               TimePoint now) {
  for (const CrashProfile& profile : waiting) {
    OutcomesOf(profile.service).crashed.Add(now);
  }
  if (AddCrash(endpoint, waiting, now)) {
    ++revision_;
  }
  for (Crash& crash : crashes_) {
    if (crash.endpoint == endpoint && now - crash.at < kSameCrash) {
      crash.own_requests += static_cast<int>(waiting.size());
    }
  }
}

// Only a crash during a trial counts against a blocked cause: requests that
// were sent before the block may still run.
void PromptQuarantine::RenewBlocks(const std::vector<CrashProfile>& waiting,
                                   TimePoint at) {
  for (const CrashProfile& profile : waiting) {
    for (const CauseId& cause : CausesOf(profile)) {
      auto found = blocks_.find(cause);
      if (found != blocks_.end() && IsLapsed(found->second, at)) {
        StartBlock(cause, at, found->second.strikes + 1, 1);
      }
    }
  }
}

bool PromptQuarantine::AddCrash(const EndpointId& endpoint,
                                const std::vector<CrashProfile>& waiting,
                                TimePoint at) {
  RenewBlocks(waiting, at);
  auto is_same = [&](const Crash& crash) {
    return crash.endpoint == endpoint &&
           std::max(crash.at, at) - std::min(crash.at, at) < kSameCrash;
  };
  auto same = std::find_if(crashes_.begin(), crashes_.end(), is_same);
  if (IsExplained({endpoint, at, waiting})) {
    if (same != crashes_.end()) {
      crashes_.erase(same);
    }
    return false;
  }
  if (same == crashes_.end()) {
    if (crashes_.size() >= kMaxCrashes) {
      crashes_.pop_front();
    }
    auto after = std::upper_bound(
        crashes_.begin(), crashes_.end(), at,
        [](TimePoint time, const Crash& crash) { return time < crash.at; });
    same = crashes_.insert(after, {endpoint, at, {}});
  }
  bool changed = false;
  for (const CrashProfile& profile : waiting) {
    bool known = std::any_of(same->waiting.begin(), same->waiting.end(),
                             [&](const CrashProfile& other) {
                               return other.request == profile.request;
                             });
    if (!known && same->waiting.size() < kMaxWaiting &&
        !IsAnsweredSince(profile.request, at)) {
      same->waiting.push_back(WithoutCleared(profile, at));
      changed = true;
    }
  }
  if (same->waiting.empty()) {
    crashes_.erase(same);
  }
  return changed;
}

void PromptQuarantine::OnAnswered(const CrashProfile& profile, TimePoint now) {
  Outcomes& outcomes = OutcomesOf(profile.service);
  outcomes.answered.Add(now);
  for (const CauseId& part : profile.parts) {
    RecordAnswer(part, now);
  }
  // The answer to one request matters only if it is known from a crash.
  if (!crashes_.empty() || !blocks_.empty()) {
    RecordAnswer(profile.request, now);
  }
}

void PromptQuarantine::RecordAnswer(const CauseId& cause, TimePoint at) {
  auto found = answers_.find(cause);
  if (found == answers_.end()) {
    if (answers_.size() >= kMaxAnswers) {
      answers_.erase(answers_.begin());
    }
    answers_.emplace(cause, at);
  } else {
    found->second = std::max(found->second, at);
  }
  if (!crashes_.empty()) {
    RemoveCleared(cause, at);
  }
  auto block = blocks_.find(cause);
  if (block != blocks_.end() && block->second.since < at) {
    cleared_[cause] = at;
    EndBlock(cause);
  }
}

void PromptQuarantine::RemoveCleared(const CauseId& cause, TimePoint answered) {
  for (Crash& crash : crashes_) {
    if (crash.at > answered) {
      break;
    }
    auto& waiting = crash.waiting;
    for (auto profile = waiting.begin(); profile != waiting.end();) {
      auto part =
          std::find(profile->parts.begin(), profile->parts.end(), cause);
      if (part != profile->parts.end()) {
        profile->parts.erase(part);
        cleared_[cause] = answered;
      }
      if (profile->request == cause) {
        profile = waiting.erase(profile);
        cleared_[cause] = answered;
      } else {
        ++profile;
      }
    }
  }
  crashes_.erase(
      std::remove_if(crashes_.begin(), crashes_.end(),
                     [](const Crash& crash) { return crash.waiting.empty(); }),
      crashes_.end());
}

CrashEvidence PromptQuarantine::Export(milliseconds min_age,
                                       TimePoint now) const {
  CrashEvidence evidence;
  for (const Crash& crash : crashes_) {
    if (now - crash.at >= min_age) {
      evidence.crashes.push_back({crash.endpoint,
                                  duration_cast<milliseconds>(now - crash.at),
                                  crash.waiting});
    }
  }
  for (const auto& [cause, block] : blocks_) {
    evidence.blocks.push_back(
        {cause, duration_cast<milliseconds>(now - block.since), block.strikes});
  }
  for (const auto& [cause, at] : cleared_) {
    evidence.answers.push_back({cause, duration_cast<milliseconds>(now - at)});
  }
  return evidence;
}

void PromptQuarantine::Merge(const CrashEvidence& evidence, TimePoint now) {
  // What others have told is not told again.
  std::uint64_t revision = revision_;
  for (const CrashEvidence::Answer& answer : evidence.answers) {
    if (answer.age < kAnswerRetention) {
      RecordAnswer(answer.cause, now - answer.age);
    }
  }
  for (const CrashEvidence::Block& entry : evidence.blocks) {
    TimePoint since = now - entry.age;
    auto known = blocks_.find(entry.cause);
    bool newer =
        known == blocks_.end() || known->second.strikes < entry.strikes;
    bool outdated =
        entry.age > BlockTime(entry.strikes) + kUnusedBlockRetention;
    if (!newer || outdated) {
      continue;
    }
    if (IsAnsweredSince(entry.cause, since)) {
      cleared_[entry.cause] = answers_.at(entry.cause);
      ++revision;
    } else {
      StartBlock(entry.cause, since, entry.strikes, 0);
    }
  }
  for (const CrashEvidence::Crash& crash : evidence.crashes) {
    TimePoint at = now - crash.age;
    if (crash.age >= kCrashRetention || crash.waiting.empty()) {
      continue;
    }
    AddCrash(crash.endpoint, crash.waiting, at);
    for (const CrashProfile& profile : crash.waiting) {
      for (const CauseId& cause : CausesOf(profile)) {
        // The sender does not know of this answer.
        if (IsAnsweredSince(cause, at)) {
          cleared_[cause] = answers_.at(cause);
          ++revision;
        }
      }
    }
  }
  revision_ = revision;
}

void PromptQuarantine::Release(const CauseId& cause) {
  if (blocks_.count(cause) > 0) {
    EndBlock(cause);
  }
}

void PromptQuarantine::Evaluate(TimePoint now) {
  // Each block explains crashes, so that what merely ran beside it is not
  // blocked as well.
  while (!crashes_.empty()) {
    std::map<CauseId, Suspicion> suspicions = Suspicions();
    const std::pair<const CauseId, Suspicion>* best = nullptr;
    for (const auto& entry : suspicions) {
      if (!IsSufficient(entry.first, entry.second, now)) {
        continue;
      }
      // Of causes with the same crashes, the last part of the prompt is the
      // most specific one.
      auto rank = [](const Suspicion& s) {
        return std::make_tuple(s.crashes, !s.is_request, s.position);
      };
      if (best == nullptr || rank(best->second) < rank(entry.second)) {
        best = &entry;
      }
    }
    // It counts from the latest crash, so that a later answer ends it.
    if (best == nullptr ||
        !StartBlock(best->first, best->second.last, 0, best->second.crashes)) {
      return;
    }
  }
}

std::map<CauseId, PromptQuarantine::Suspicion> PromptQuarantine::Suspicions()
    const {
  std::map<CauseId, Suspicion> suspicions;
  for (const Crash& crash : crashes_) {
    std::map<CauseId, bool> counted;
    for (const CrashProfile& profile : crash.waiting) {
      std::vector<CauseId> causes = CausesOf(profile);
      for (std::size_t i = 0; i < causes.size(); ++i) {
        Suspicion& suspicion = suspicions[causes[i]];
        if (suspicion.crashes == 0) {
          suspicion.service = profile.service;
          suspicion.first = crash.at;
          suspicion.position = i;
          suspicion.is_request = i == profile.parts.size();
        }
        suspicion.last = crash.at;
        if (counted.emplace(causes[i], true).second) {
          ++suspicion.crashes;
          suspicion.own_requests += crash.own_requests;
        }
        suspicion.requests.insert(profile.request);
      }
    }
  }
  return suspicions;
}

bool PromptQuarantine::IsSufficient(const CauseId& cause,
                                    const Suspicion& suspicion,
                                    TimePoint now) {
  // Most causes end here; the number required is costly to find.
  if (static_cast<double>(suspicion.crashes) < kMinCrashes) {
    return false;
  }
  bool was_answered =
      IsAnsweredSince(cause, suspicion.first - kAnswerRetention);
  if (suspicion.last - suspicion.first <
          (was_answered ? kMinSpanIfAnswered : kMinSpan) ||
      (!suspicion.is_request && suspicion.requests.size() < kMinRequests)) {
    return false;
  }
  return suspicion.crashes >= RequiredCrashes(suspicion, now) +
                                  (was_answered ? kMoreCrashesIfAnswered : 0);
}

double PromptQuarantine::RequiredCrashes(const Suspicion& suspicion,
                                         TimePoint now) {
  // After an outage the rate of crashes is low again, so that it is also
  // estimated at the time of the crashes.
  return std::max(RequiredCrashesAt(suspicion, now - kOutcomeWindow, now),
                  RequiredCrashesAt(suspicion, suspicion.first - kOutcomeWindow,
                                    suspicion.last + kAnswersAfterCrash));
}

double PromptQuarantine::RequiredCrashesAt(const Suspicion& suspicion,
                                           TimePoint from,
                                           TimePoint to) {
  const Outcomes& outcomes = OutcomesOf(suspicion.service);
  auto others = std::max<std::int64_t>(
      outcomes.crashed.CountBetween(from, to) - suspicion.own_requests, 0);
  auto crashed = static_cast<double>(others) + 1;
  auto all =
      static_cast<double>(outcomes.answered.CountBetween(from, to)) + crashed;
  double rate = crashed / all;
  // Without answers, endpoints crash whatever they get.
  return rate >= 1 ? std::numeric_limits<double>::infinity()
                   : std::max(kMinCrashes,
                              std::ceil(std::log(kFalseBlockProbability) /
                                        std::log(rate)));
}

PromptQuarantine::Outcomes& PromptQuarantine::OutcomesOf(
    const ServiceId& service) {
  SlidingCounter counter(kOutcomeRetention, kOutcomeSlice);
  return outcomes_.emplace(service, Outcomes{counter, counter}).first->second;
}

bool PromptQuarantine::StartBlock(const CauseId& cause,
                                  TimePoint since,
                                  int strikes,
                                  int crashes) {
  if (blocks_.count(cause) == 0 && blocks_.size() >= kMaxBlocks) {
    return false;
  }
  Block& block = blocks_[cause];
  block.since = std::max(block.since, since);
  block.strikes = strikes;
  block.trial_at.reset();
  block.last_request = block.since;
  changes_.push_back({cause, true, crashes, strikes});
  ++revision_;
  crashes_.erase(
      std::remove_if(crashes_.begin(), crashes_.end(),
                     [this](const Crash& crash) { return IsExplained(crash); }),
      crashes_.end());
  return true;
}

void PromptQuarantine::EndBlock(const CauseId& cause) {
  int strikes = blocks_.at(cause).strikes;
  blocks_.erase(cause);
  changes_.push_back({cause, false, 0, strikes});
  ++revision_;
}

bool PromptQuarantine::IsExplained(const Crash& crash) const {
  return std::any_of(crash.waiting.begin(), crash.waiting.end(),
                     [this](const CrashProfile& profile) {
                       std::vector<CauseId> causes = CausesOf(profile);
                       return std::any_of(causes.begin(), causes.end(),
                                          [this](const CauseId& cause) {
                                            return blocks_.count(cause) > 0;
                                          });
                     });
}

bool PromptQuarantine::IsLapsed(const Block& block, TimePoint now) const {
  return now - block.since >= BlockTime(block.strikes);
}

void PromptQuarantine::Expire(TimePoint now) {
  while (!crashes_.empty() && crashes_.front().at < now - kCrashRetention) {
    crashes_.pop_front();
  }
  for (Crash& crash : crashes_) {
    if (now - crash.at > kRequestRetention) {
      // A request of its own is not sent again so late.
      crash.waiting.erase(
          std::remove_if(crash.waiting.begin(), crash.waiting.end(),
                         [](const CrashProfile& profile) {
                           return profile.parts.empty();
                         }),
          crash.waiting.end());
    }
  }
  crashes_.erase(
      std::remove_if(crashes_.begin(), crashes_.end(),
                     [](const Crash& crash) { return crash.waiting.empty(); }),
      crashes_.end());
  for (auto entry = answers_.begin(); entry != answers_.end();) {
    entry = entry->second < now - kAnswerRetention ? answers_.erase(entry)
                                                   : std::next(entry);
  }
  for (auto entry = cleared_.begin(); entry != cleared_.end();) {
    entry = entry->second < now - kClearedRetention ? cleared_.erase(entry)
                                                    : std::next(entry);
  }
  for (auto entry = blocks_.begin(); entry != blocks_.end();) {
    const Block& block = entry->second;
    bool unused =
        IsLapsed(block, now) &&
        now - block.last_request > kUnusedBlockRetention &&
        now - block.since - BlockTime(block.strikes) > kUnusedBlockRetention;
    CauseId cause = entry->first;
    ++entry;
    if (unused) {
      EndBlock(cause);
    }
  }
}

std::vector<PromptQuarantine::Change> PromptQuarantine::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace filbertshift

#include "tests/soak/soak_drill.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCopyInterval{500};
constexpr std::size_t kMaxCopies = 30;
constexpr int kMinAwayMs = 300;
constexpr int kMaxAwayMs = 3000;
constexpr int kMinOperatorRewriteMs = 300;
constexpr int kMaxOperatorRewriteMs = 1000;
constexpr int kMinEndpointRewriteMs = 500;
constexpr int kMaxEndpointRewriteMs = 2000;
constexpr int kMaxPauseBetweenMs = 2000;

}  // namespace

SoakDrill::SoakDrill(Transport* transport,
                     StandInStore* store,
                     unsigned seed,
                     LogFunction log)
    : transport_(transport),
      store_(store),
      random_(seed),
      log_(std::move(log)) {}

milliseconds SoakDrill::RandomDuration(int min_ms, int max_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
}

void SoakDrill::Put(const std::string& table,
                    const std::string& key,
                    const std::string& value) {
  WriteOrWait({table, key, value, TimePoint()});
}

void SoakDrill::Remove(const std::string& table, const std::string& key) {
  WriteOrWait({table, key, std::nullopt, TimePoint()});
}

void SoakDrill::WriteOrWait(Row row) {
  if (is_over()) {
    Write(std::move(row));
    return;
  }
  bool is_operator = row.table == "op";
  std::string key = row.key;
  AddPending(std::move(row));
  if (away_) {
    return;
  }
  if (!is_operator) {
    ScheduleEndpointRow(key, drill_);
  } else if (operator_rows_.size() == 1) {
    ScheduleOperatorRow(drill_);
  }
}

void SoakDrill::Write(Row row) {
  row.written_at = transport_->Now();
  if (row.value.has_value()) {
    store_->Put(row.table, row.key, *row.value);
  } else {
    store_->Remove(row.table, row.key);
  }
  written_.push_back(std::move(row));
}

void SoakDrill::SaveCopies() {
  if (!away_) {
    SaveCopy();
  }
  transport_->After(kCopyInterval, [this] { SaveCopies(); });
}

void SoakDrill::SaveCopy() {
  copies_.push_back({transport_->Now(), store_->SaveCopy()});
  if (copies_.size() > kMaxCopies) {
    copies_.pop_front();
  }
  while (!written_.empty() &&
         written_.front().written_at < copies_.front().saved_at) {
    written_.pop_front();
  }
}

void SoakDrill::SetAway(bool away) {
  away_ = away;
  if (proxies_.empty()) {
    store_->SetBusy(away);
  }
  for (FaultProxy* proxy : proxies_) {
    proxy->SetFault(away ? ProxyFault::kReset : ProxyFault::kNone);
  }
}

void SoakDrill::Begin(milliseconds age,
                      std::vector<FaultProxy*> proxies,
                      bool again) {
  milliseconds time = RandomDuration(kMinAwayMs, kMaxAwayMs);
  log_(fmt::format("drill: store {} for {} ms",
                   proxies.empty() ? "rejects requests" : "is cut off",
                   time.count()));
  // A drill that follows another one belongs to it.
  if (is_settled()) {
    began_at_ = transport_->Now();
  }
  ++drill_;
  another_follows_ = again;
  proxies_ = std::move(proxies);
  SetAway(true);
  TimePoint copied_until = transport_->Now() - age;
  transport_->After(time, [this, copied_until, age, again] {
    Return(copied_until);
    if (again) {
      transport_->After(RandomDuration(0, kMaxPauseBetweenMs), [this, age] {
        Begin(age, std::exchange(proxies_, {}), false);
      });
    }
  });
}

void SoakDrill::Return(TimePoint copied_until) {
  TimePoint now = transport_->Now();
  while (copies_.size() > 1 && copies_.back().saved_at > copied_until) {
    copies_.pop_back();
  }
  const SavedCopy& copy = copies_.back();
  std::deque<Row> waiting_operator_rows = std::exchange(operator_rows_, {});
  std::map<std::string, Row> waiting_endpoint_rows =
      std::exchange(endpoint_rows_, {});
  pending_rows_ = 0;
  auto lost = std::find_if(
      written_.begin(), written_.end(),
      [&copy](const Row& row) { return row.written_at >= copy.saved_at; });
  for (auto row = lost; row != written_.end(); ++row) {
    AddPending(std::move(*row));
  }
  written_.erase(lost, written_.end());
  for (Row& row : waiting_operator_rows) {
    AddPending(std::move(row));
  }
  for (auto& entry : waiting_endpoint_rows) {
    AddPending(std::move(entry.second));
  }
  ++returns_;
  returned_at_ = now;
  store_->ReturnTo(copy.copy);
  SetAway(false);
  log_(fmt::format(
      "drill: store returned from a copy {} ms old, era {}; to be "
      "written again: {} of the operator, {} of endpoints",
      duration_cast<milliseconds>(now - copy.saved_at).count(),
      store_->era().value_or(0), operator_rows_.size(), endpoint_rows_.size()));
  if (!operator_rows_.empty()) {
    transport_->After(milliseconds(kMinOperatorRewriteMs),
                      [this, drill = drill_] { ScheduleOperatorRow(drill); });
  }
  for (const auto& entry : endpoint_rows_) {
    ScheduleEndpointRow(entry.first, drill_);
  }
}

void SoakDrill::AddPending(Row row) {
  if (row.table == "op") {
    operator_rows_.push_back(std::move(row));
  } else {
    std::string key = row.key;
    endpoint_rows_[key] = std::move(row);
  }
  pending_rows_ = operator_rows_.size() + endpoint_rows_.size();
}

void SoakDrill::ScheduleOperatorRow(std::uint64_t drill) {
  if (drill != drill_ || operator_rows_.empty()) {
    return;
  }
  int share = (kMaxOperatorRewriteMs - kMinOperatorRewriteMs) /
              static_cast<int>(operator_rows_.size());
  transport_->After(RandomDuration(0, share), [this, drill] {
    if (drill != drill_ || operator_rows_.empty()) {
      return;
    }
    Row row = std::move(operator_rows_.front());
    operator_rows_.pop_front();
    --pending_rows_;
    ++rows_written_again_;
    Write(std::move(row));
    if (!operator_rows_.empty()) {
      ScheduleOperatorRow(drill);
    }
  });
}

void SoakDrill::ScheduleEndpointRow(const std::string& key,
                                    std::uint64_t drill) {
  transport_->After(
      RandomDuration(kMinEndpointRewriteMs, kMaxEndpointRewriteMs),
      [this, key, drill] {
        auto row = endpoint_rows_.find(key);
        if (drill != drill_ || row == endpoint_rows_.end()) {
          return;
        }
        Row written = std::move(row->second);
        endpoint_rows_.erase(row);
        --pending_rows_;
        ++rows_written_again_;
        Write(std::move(written));
      });
}

bool SoakDrill::is_settled() const {
  return is_over() && transport_->Now() >= returned_at_ + kSoakDrillSettleTime;
}

bool SoakDrill::IsLost(const std::string& table, const std::string& key) const {
  if (away_) {
    return false;
  }
  if (table != "op") {
    return endpoint_rows_.count(key) > 0;
  }
  return std::any_of(operator_rows_.begin(), operator_rows_.end(),
                     [&key](const Row& row) { return row.key == key; });
}

}  // namespace filbertshift

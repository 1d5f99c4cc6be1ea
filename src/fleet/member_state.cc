#include "src/fleet/member_state.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "src/common/document_reader.h"

namespace filbertshift {

namespace {

using nlohmann::json;

// Sums are encoded in thousandths to shorten the row; the precision is
// sufficient for comparing versions.
constexpr double kLogScale = 1000.0;
// More requests than an instance can hold; sums over instances stay in range.
constexpr std::int64_t kMaxInFlight = 1000000;

// Number of fields that every release writes. Later ones are read where they
// are present, and ignored by earlier releases.
constexpr std::size_t kCommonCountFields = 10;

// The histograms of the groups, separated by semicolons.
constexpr char kGroupSeparator = ';';

std::string EncodeTimes(const GroupedTimes& times) {
  std::string text;
  std::size_t missing_separators = 0;
  for (const TimeHistogram& histogram : times) {
    if (histogram.total() > 0) {
      text.append(missing_separators, kGroupSeparator);
      text += EncodeTimeHistogram(histogram);
      missing_separators = 0;
    }
    ++missing_separators;
  }
  return text;
}

GroupedTimes DecodeTimes(std::string_view text) {
  GroupedTimes times;
  for (TimeHistogram& histogram : times) {
    std::size_t separator = text.find(kGroupSeparator);
    histogram = DecodeTimeHistogram(text.substr(0, separator));
    if (separator == std::string_view::npos) {
      break;
    }
    text.remove_prefix(separator + 1);
  }
  return times;
}

json EncodeCounts(const EvidenceKey& key, const AnswerCounts& counts) {
  return json::array(
      {key.service.value(), key.version.value(), key.route, counts.answers,
       counts.failures, counts.first_bytes,
       static_cast<std::int64_t>(counts.first_byte_log_sum * kLogScale),
       counts.gaps, static_cast<std::int64_t>(counts.gap_log_sum * kLogScale),
       counts.sends, EncodeTimes(counts.first_byte_times),
       EncodeTimes(counts.gap_times)});
}

void DecodeCounts(const json& entry, RolloutEvidence* evidence) {
  EvidenceKey key{ServiceId(entry.at(0).get<std::string>()),
                  VersionId(entry.at(1).get<std::string>()),
                  entry.at(2).get<std::string>()};
  AnswerCounts& counts = evidence->at(key);
  auto read_count = [&entry](std::size_t position) {
    return ToInteger(entry.at(position), 0, kMaxCount);
  };
  auto read_sum = [&entry](std::size_t position) {
    constexpr auto kMaxSum = static_cast<double>(kMaxCount);
    return ToNumber(entry.at(position), -kMaxSum, kMaxSum) / kLogScale;
  };
  counts.answers = read_count(3);
  counts.failures = read_count(4);
  counts.first_bytes = read_count(5);
  counts.first_byte_log_sum = read_sum(6);
  counts.gaps = read_count(7);
  counts.gap_log_sum = read_sum(8);
  counts.sends = read_count(9);
  if (entry.size() >= kCommonCountFields + 2) {
    counts.first_byte_times = DecodeTimes(entry.at(10).get<std::string>());
    counts.gap_times = DecodeTimes(entry.at(11).get<std::string>());
  }
}

}  // namespace

std::string EncodeMemberState(const MemberState& state) {
  json evidence = json::array();
  for (const auto& [key, counts] : state.evidence.counts()) {
    evidence.push_back(EncodeCounts(key, counts));
  }
  json in_flight = json::object();
  for (const auto& [service, count] : state.stable_in_flight) {
    in_flight[service.value()] = count;
  }
  json value{{"instance", state.instance.value()},
             {"peer_address", state.peer_address},
             {"incarnation", state.incarnation},
             {"beat", state.beat}};
  if (!state.data_centre.empty()) {
    value["data_centre"] = state.data_centre.value();
  }
  if (!evidence.empty()) {
    value["evidence"] = std::move(evidence);
  }
  if (!in_flight.empty()) {
    value["stable_in_flight"] = std::move(in_flight);
  }
  if (!state.kept_sessions.empty()) {
    value["kept_sessions"] = state.kept_sessions;
  }
  return value.dump();
}

std::optional<MemberState> DecodeMemberState(const std::string& text) {
  try {
    json value = ParseJson(text);
    MemberState state;
    state.instance = InstanceId(value.at("instance").get<std::string>());
    state.peer_address = value.at("peer_address").get<std::string>();
    state.incarnation = ToUnsigned(value.at("incarnation"));
    state.beat = ToUnsigned(value.at("beat"));
    if (value.contains("data_centre")) {
      state.data_centre = DataCentreId(value["data_centre"].get<std::string>());
    }
    if (value.contains("evidence")) {
      for (const json& entry : value["evidence"]) {
        DecodeCounts(entry, &state.evidence);
      }
    }
    if (value.contains("stable_in_flight")) {
      for (const auto& [service, count] : value["stable_in_flight"].items()) {
        state.stable_in_flight[ServiceId(service)] =
            static_cast<int>(ToInteger(count, 0, kMaxInFlight));
      }
    }
    if (value.contains("kept_sessions")) {
      for (const json& session : value["kept_sessions"]) {
        state.kept_sessions.push_back(static_cast<std::uint32_t>(
            ToInteger(session, 0, std::numeric_limits<std::uint32_t>::max())));
      }
    }
    return state;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const DocumentError&) {
    return std::nullopt;
  }
}

}  // namespace filbertshift

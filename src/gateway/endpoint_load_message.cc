#include "src/gateway/endpoint_load_message.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

#include "src/common/document_reader.h"

namespace filbertshift {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Of a message with a whole report, and of one with changed entries only.
constexpr int kWholeVersion = 1;
constexpr int kChangesVersion = 2;
// Elements that every message has, and positions of the others.
constexpr std::size_t kElements = 7;
constexpr std::size_t kAge = 7;
constexpr std::size_t kSequence = 8;
constexpr std::size_t kBase = 9;
constexpr std::size_t kHeld = 10;
// Whole reports are sent this often, so that small differences that were not
// worth sending do not last.
constexpr std::uint64_t kWholeReportEvery = 32;
constexpr std::size_t kMaxNameBytes = 200;
// Greater than any sum in a fleet; sums of accepted values stay exact.
constexpr double kMaxValue = 1e12;
// Whole numbers take fewer bytes than fractions, and single precision half of
// what double precision takes.
json Compact(double value) {
  double bounded = std::clamp(value, 0.0, kMaxValue);
  double whole = std::round(bounded);
  if (whole == bounded) {
    return static_cast<std::uint64_t>(whole);
  }
  return static_cast<double>(static_cast<float>(bounded));
}

json EncodeEndpoint(std::uint64_t key, const ReportedEndpointLoad& load) {
  return json::array({key, Compact(load.in_flight), Compact(load.running),
                      Compact(load.waiting_tokens), Compact(load.pace_sum),
                      Compact(load.pace_count)});
}

double ToValue(const json& value) {
  return ToNumber(value, 0, kMaxValue);
}

std::string ToName(const json& value) {
  const auto& name = value.get_ref<const std::string&>();
  if (name.empty() || name.size() > kMaxNameBytes) {
    throw DocumentError("a name is empty or too long");
  }
  return name;
}

const json& ToList(const json& value) {
  if (!value.is_array() || value.size() > kMaxLoadEntries) {
    throw DocumentError("not a list, or too many entries");
  }
  return value;
}

LoadReport DecodeReport(const json& endpoints, const json& services) {
  LoadReport report;
  for (const json& entry : ToList(endpoints)) {
    ReportedEndpointLoad load;
    load.in_flight = ToValue(entry.at(1));
    load.running = ToValue(entry.at(2));
    load.waiting_tokens = ToValue(entry.at(3));
    load.pace_sum = ToValue(entry.at(4));
    load.pace_count = ToValue(entry.at(5));
    report.endpoints[ToUnsigned(entry.at(0))].Add(load);
  }
  for (const json& entry : ToList(services)) {
    ReportedServiceLoad load;
    load.arrivals = ToValue(entry.at(1));
    load.admitted = ToValue(entry.at(2));
    load.answers = ToValue(entry.at(3));
    load.answer_ms = ToValue(entry.at(4));
    load.rejections = ToValue(entry.at(5));
    report.services[ServiceId(ToName(entry.at(0)))].Add(load);
  }
  return report;
}

LoadMessage DecodeMessage(const json& value) {
  if (!value.is_array() || value.size() < kElements) {
    throw DocumentError("not a list of at least seven elements");
  }
  std::int64_t version = ToInteger(value[0], 0, kMaxCount);
  if (version != kWholeVersion && version != kChangesVersion) {
    throw DocumentError("unknown version");
  }
  LoadMessage message;
  message.instance = InstanceId(ToName(value[1]));
  message.incarnation = ToUnsigned(value[2]);
  message.data_centre = DataCentreId(ToName(value[3]));
  message.scope = static_cast<LoadScope>(ToInteger(value[4], 0, 1));
  message.report = DecodeReport(value[5], value[6]);
  if (value.size() > kAge) {
    message.age = ToDuration(value[kAge]);
  }
  if (value.size() > kHeld) {
    message.sequence = ToUnsigned(value[kSequence]);
    message.base = ToUnsigned(value[kBase]);
    message.held = ToUnsigned(value[kHeld]);
  }
  if ((message.base != 0) != (version == kChangesVersion)) {
    throw DocumentError("version and base contradict each other");
  }
  return message;
}

}  // namespace

std::string SerializeLoadMessage(const LoadMessage& message) {
  json endpoints = json::array();
  for (const auto& [key, load] : message.report.endpoints) {
    endpoints.push_back(EncodeEndpoint(key, load));
  }
  json services = json::array();
  for (const auto& [service, load] : message.report.services) {
    services.push_back(
        json::array({service.value(), Compact(load.arrivals),
                     Compact(load.admitted), Compact(load.answers),
                     Compact(load.answer_ms), Compact(load.rejections)}));
  }
  json value = json::array(
      {message.base == 0 ? kWholeVersion : kChangesVersion,
       message.instance.value(), message.incarnation,
       message.data_centre.value(), static_cast<int>(message.scope),
       std::move(endpoints), std::move(services), message.age.count(),
       message.sequence, message.base, message.held});
  std::vector<std::uint8_t> bytes = json::to_msgpack(value);
  return std::string(bytes.begin(), bytes.end());
}

void FillReport(LoadReport report,
                std::uint64_t base,
                double tolerance,
                LoadMessage* message,
                LoadReport* held) {
  report = RoundReport(report);
  if (base != 0 && message->sequence % kWholeReportEvery != 0) {
    LoadReport changes =
        ChangedEntries(*held, report, message->scope, tolerance);
    if (changes.endpoints.size() <= report.endpoints.size()) {
      ApplyChanges(changes, held);
      message->base = base;
      message->report = std::move(changes);
      return;
    }
  }
  *held = report;
  message->report = std::move(report);
}

LoadMessage ParseLoadMessage(const std::string& bytes) {
  try {
    if (bytes.size() > kMaxLoadMessageBytes) {
      throw DocumentError(fmt::format("{} bytes are too many", bytes.size()));
    }
    return DecodeMessage(ParseMessagePack(bytes));
  } catch (const json::exception& error) {
    throw FindingsError({{"endpoint load", "", 0, 0, error.what()}});
  } catch (const DocumentError& error) {
    throw FindingsError({{"endpoint load", "", 0, 0, error.what()}});
  }
}

}  // namespace filbertshift

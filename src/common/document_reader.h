// Reads JSON and MessagePack documents of other processes. Nesting is limited,
// because copying and encoding a document recurse, and numbers are checked
// before they are converted: a conversion out of range is undefined.

#ifndef SRC_COMMON_DOCUMENT_READER_H_
#define SRC_COMMON_DOCUMENT_READER_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace filbertshift {

// Values nested deeper than this make a document invalid.
constexpr std::size_t kMaxDocumentDepth = 64;
// A time point plus this duration is still within the range of the clock.
constexpr std::chrono::milliseconds kMaxDuration =
    std::chrono::hours(24 * 365 * 30);
// Limit of counts and of times since an epoch: the whole numbers that a double
// holds exactly.
constexpr std::int64_t kMaxCount = std::int64_t{1} << 53;

class DocumentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What to do about a key that an object has twice.
enum class RepeatedKeys {
  // The document is invalid, because readers would disagree about its value.
  kReject,
  kUseLast,
};

// These throw DocumentError.
nlohmann::json ParseJson(std::string_view text,
                         RepeatedKeys repeated = RepeatedKeys::kReject);
nlohmann::json ParseMessagePack(std::string_view bytes);

// These throw DocumentError unless the value is a number in [min, max], and a
// whole one for an integer.
std::int64_t ToInteger(const nlohmann::json& value,
                       std::int64_t min,
                       std::int64_t max);
std::uint64_t ToUnsigned(const nlohmann::json& value);
double ToNumber(const nlohmann::json& value, double min, double max);
// Converts a number of `unit` from 0 to kMaxDuration.
std::chrono::milliseconds ToDuration(
    const nlohmann::json& value,
    std::chrono::milliseconds unit = std::chrono::milliseconds(1));

// As above for the member `name` of an object; `fallback` if it has none.
std::int64_t IntegerOr(const nlohmann::json& object,
                       const char* name,
                       std::int64_t fallback,
                       std::int64_t min,
                       std::int64_t max);
double NumberOr(const nlohmann::json& object,
                const char* name,
                double fallback,
                double min,
                double max);
std::chrono::milliseconds DurationOr(
    const nlohmann::json& object,
    const char* name,
    std::chrono::milliseconds fallback,
    std::chrono::milliseconds unit = std::chrono::milliseconds(1));

}  // namespace filbertshift

#endif  // SRC_COMMON_DOCUMENT_READER_H_

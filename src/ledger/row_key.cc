#include "src/ledger/row_key.h"

#include <fmt/format.h>

namespace filbertshift {
namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~';
}

}  // namespace

std::string EncodeKeyPart(std::string_view part) {
  std::string encoded;
  for (char c : part) {
    if (IsUnreserved(c)) {
      encoded.push_back(c);
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

std::string RandomToken(Random& random) {
  const std::uint64_t high = random.Next();
  const std::uint64_t low = random.Next();
  return fmt::format("{:016x}{:016x}", high, low);
}

}  // namespace filbertshift

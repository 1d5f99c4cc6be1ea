#include "src/common/sha256.h"

#include <fmt/format.h>
#include <openssl/sha.h>

namespace filbertshift {

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest);
  std::string hex;
  hex.reserve(2 * sizeof(digest));
  for (unsigned char byte : digest) {
    hex += fmt::format("{:02x}", byte);
  }
  return hex;
}

}  // namespace filbertshift

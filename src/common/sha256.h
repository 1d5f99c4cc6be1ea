// SHA-256 for API keys and request hashes.

#ifndef SRC_COMMON_SHA256_H_
#define SRC_COMMON_SHA256_H_

#include <string>
#include <string_view>

namespace filbertshift {

// Returns the digest as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

}  // namespace filbertshift

#endif  // SRC_COMMON_SHA256_H_

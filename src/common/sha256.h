// SHA-256, used for API keys and request hashes.

#ifndef SRC_COMMON_SHA256_H_
#define SRC_COMMON_SHA256_H_

#include <string>
#include <string_view>

namespace filbertshift {

// Lower-case hexadecimal digest, 64 characters.
std::string Sha256Hex(std::string_view data);

}  // namespace filbertshift

#endif  // SRC_COMMON_SHA256_H_

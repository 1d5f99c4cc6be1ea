// Building of row keys and object names from caller-supplied parts.

#ifndef SRC_LEDGER_ROW_KEY_H_
#define SRC_LEDGER_ROW_KEY_H_

#include <string>
#include <string_view>

#include "src/common/common.h"

namespace filbertshift {

// Percent-encodes all characters except the unreserved ones of RFC 3986.
// Without it, account "a/b" with key "c" and account "a" with key "b/c" would
// share a row.
std::string EncodeKeyPart(std::string_view part);

// Returns 128 random bits in hexadecimal.
std::string RandomToken(Random& random);

}  // namespace filbertshift

#endif  // SRC_LEDGER_ROW_KEY_H_

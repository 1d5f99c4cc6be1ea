// Names of rows and objects, built from parts that callers choose.

#ifndef SRC_LEDGER_ROW_KEY_H_
#define SRC_LEDGER_ROW_KEY_H_

#include <string>
#include <string_view>

#include "src/common/common.h"

namespace filbertshift {

// Percent-encodes everything but unreserved characters. Without it, account
// "a/b" with key "c" and account "a" with key "b/c" would share a row.
std::string EncodeKeyPart(std::string_view part);

// 128 random bits in hexadecimal.
std::string RandomToken(Random& random);

}  // namespace filbertshift

#endif  // SRC_LEDGER_ROW_KEY_H_

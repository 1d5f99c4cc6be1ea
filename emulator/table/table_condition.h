// Supported subset of the condition and key expressions of the published table
// protocol: terms joined by AND.

#ifndef EMULATOR_TABLE_TABLE_CONDITION_H_
#define EMULATOR_TABLE_TABLE_CONDITION_H_

#include <stdexcept>
#include <string>

#include "emulator/http/http_message.h"

namespace filbertshift::emulator {

// An item in the JSON format of the protocol, such as {"pk":{"S":"a"}}.
using TableItem = Json;

// Thrown when a request violates the protocol or uses an unsupported part of
// it.
class TableValidationError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the key of an item or of a "Key" object. Throws TableValidationError.
std::string ItemKey(const Json& item);

// Evaluates the member "ConditionExpression" of `operation` for `item`, which
// is null if the item does not exist. Returns true if there is no condition.
// Supports attribute_exists(a), attribute_not_exists(a) and comparisons of an
// attribute with =, <>, <, <=, > and >=. Throws TableValidationError.
bool EvaluateCondition(const Json& operation, const TableItem* item);

// A range of keys.
struct KeyRange {
  std::string prefix;
  // Exclusive lower bound of the keys.
  std::string after;
};

// Parses begins_with(pk, :p) and pk > :a from KeyConditionExpression and
// FilterExpression, and the key in ExclusiveStartKey. Throws
// TableValidationError.
KeyRange ReadKeyRange(const Json& request);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_TABLE_TABLE_CONDITION_H_

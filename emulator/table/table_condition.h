// The subset of condition and key expressions of the published table protocol
// that the stand-in understands: terms joined by AND.

#ifndef EMULATOR_TABLE_TABLE_CONDITION_H_
#define EMULATOR_TABLE_TABLE_CONDITION_H_

#include <stdexcept>
#include <string>

#include "emulator/http/http_message.h"

namespace filbertshift::emulator {

// An item in the notation of the protocol, such as {"pk":{"S":"a"}}.
using TableItem = Json;

// The request does not follow the protocol, or uses a part of it that the
// stand-in does not have.
class TableValidationError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The key of an item or of a "Key" object. Throws TableValidationError.
std::string ItemKey(const Json& item);

// Evaluates the member "ConditionExpression" of `operation` for `item`; null
// means that there is no item. True without a condition. Understands
// attribute_exists(a), attribute_not_exists(a) and comparisons of an attribute
// with =, <>, <, <=, > and >=. Throws TableValidationError.
bool EvaluateCondition(const Json& operation, const TableItem* item);

// A range of keys.
struct KeyRange {
  std::string prefix;
  // Keys must be greater than this.
  std::string after;
};

// Reads begins_with(pk, :p) and pk > :a from KeyConditionExpression and
// FilterExpression, and ExclusiveStartKey. Throws TableValidationError.
KeyRange ReadKeyRange(const Json& request);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_TABLE_TABLE_CONDITION_H_

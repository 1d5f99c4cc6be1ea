// What a request costs its client account.

#ifndef SRC_LEDGER_CHARGE_H_
#define SRC_LEDGER_CHARGE_H_

#include <map>
#include <string>

#include "src/common/common.h"

namespace filbertshift {

struct Charge {
  // Unique for each request: "<account>/<idempotency key>" or the request id.
  std::string id;
  AccountId account;
  RequestId request;
  // Empty for plain services.
  ModelId model;
  VersionId version;
  std::string service;
  int prompt_tokens = 0;
  int answer_tokens = 0;
};

std::string ChargeToJson(const Charge& charge);
// Throws std::invalid_argument for text that is not a charge.
Charge ChargeFromJson(const std::string& text);

// JSON text of each charge by charge id.
using ChargeTexts = std::map<std::string, std::string>;

// The value of a batch row. Each text must be a charge.
std::string ChargesToRow(const ChargeTexts& charges);
// Throws std::invalid_argument for text that is not a batch row.
ChargeTexts ChargesFromRow(const std::string& value);

}  // namespace filbertshift

#endif  // SRC_LEDGER_CHARGE_H_

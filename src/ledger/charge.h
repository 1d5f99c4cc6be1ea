// Billing record of one request and its encoding in table rows.

#ifndef SRC_LEDGER_CHARGE_H_
#define SRC_LEDGER_CHARGE_H_

#include <map>
#include <string>

#include "src/common/common.h"

namespace filbertshift {

struct Charge {
  // Unique per request: "<account>/<idempotency key>", or the request id if
  // there is no key.
  std::string id;
  AccountId account;
  RequestId request;
  // Empty for requests to plain services.
  ModelId model;
  VersionId version;
  std::string service;
  int prompt_tokens = 0;
  int answer_tokens = 0;
};

std::string ChargeToJson(const Charge& charge);
// Throws std::invalid_argument if the text is not a valid charge.
Charge ChargeFromJson(const std::string& text);

// JSON text of each charge, by charge id.
using ChargeJsonById = std::map<std::string, std::string>;

// Encodes the value of a batch row. Every text must be a valid charge.
std::string ChargesToRow(const ChargeJsonById& charges);
// Throws std::invalid_argument if the text is not a valid batch row.
ChargeJsonById ChargesFromRow(const std::string& value);

}  // namespace filbertshift

#endif  // SRC_LEDGER_CHARGE_H_

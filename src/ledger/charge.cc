#include "src/ledger/charge.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace filbertshift {

using Json = nlohmann::json;

std::string ChargeToJson(const Charge& charge) {
  const Json json = {{"id", charge.id},
                     {"account", charge.account.value()},
                     {"request", charge.request.value()},
                     {"model", charge.model.value()},
                     {"version", charge.version.value()},
                     {"service", charge.service},
                     {"prompt_tokens", charge.prompt_tokens},
                     {"answer_tokens", charge.answer_tokens}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Charge ChargeFromJson(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    Charge charge;
    charge.id = json.at("id").get<std::string>();
    charge.account = AccountId(json.at("account").get<std::string>());
    charge.request = RequestId(json.at("request").get<std::string>());
    charge.model = ModelId(json.at("model").get<std::string>());
    charge.version = VersionId(json.at("version").get<std::string>());
    charge.service = json.at("service").get<std::string>();
    charge.prompt_tokens = json.at("prompt_tokens").get<int>();
    charge.answer_tokens = json.at("answer_tokens").get<int>();
    return charge;
  } catch (const Json::exception& error) {
    throw std::invalid_argument(std::string("invalid charge: ") + error.what());
  }
}

ChargeJsonById ChargesFromRow(const std::string& value) {
  try {
    ChargeJsonById charges;
    const Json json = Json::parse(value);
    for (const Json& charge : json.at("charges")) {
      const std::string text = charge.dump();
      charges[ChargeFromJson(text).id] = text;
    }
    return charges;
  } catch (const Json::exception& error) {
    throw std::invalid_argument(std::string("invalid charge batch row: ") +
                                error.what());
  }
}

std::string ChargesToRow(const ChargeJsonById& charges) {
  Json list = Json::array();
  for (const auto& [id, text] : charges) {
    list.push_back(Json::parse(text));
  }
  const Json value = {{"charges", list}};
  return value.dump();
}

}  // namespace filbertshift

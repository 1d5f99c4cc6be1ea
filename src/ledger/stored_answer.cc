#include "src/ledger/stored_answer.h"

namespace filbertshift {

using Json = nlohmann::json;

bool FitsIntoRow(const std::string& body) {
  if (body.size() > kMaxInlineBodyBytes) {
    return false;
  }
  try {
    Json(body).dump();
    return true;
  } catch (const Json::type_error&) {
    return false;
  }
}

void AddAnswer(const StoredAnswer& answer,
               const std::string& object,
               Json* value) {
  (*value)["status"] = answer.http_status;
  (*value)["content_type"] = answer.content_type;
  if (object.empty()) {
    (*value)["body"] = answer.body;
  } else {
    (*value)["body_object"] = object;
  }
}

EncodedAnswer ReadAnswer(const Json& value) {
  EncodedAnswer encoded;
  encoded.answer.http_status = value.at("status").get<int>();
  encoded.answer.content_type = value.at("content_type").get<std::string>();
  if (value.contains("body_object")) {
    encoded.object = value.at("body_object").get<std::string>();
  } else {
    encoded.answer.body = value.at("body").get<std::string>();
  }
  return encoded;
}

std::string DumpRow(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace filbertshift

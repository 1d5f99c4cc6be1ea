#include "src/config/findings_json.h"

#include <nlohmann/json.hpp>

namespace filbertshift {

std::string FindingsToJson(const std::vector<Finding>& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const Finding& finding : findings) {
    list.push_back({{"source", finding.source},
                    {"path", finding.path},
                    {"line", finding.line},
                    {"column", finding.column},
                    {"message", finding.message}});
  }
  return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace filbertshift

#include <strings.h>

#include "src/ports/caller_port.h"

namespace filbertshift {

std::string FindHeader(const std::vector<HttpHeader>& headers,
                       std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name.size() == name.size() &&
        strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
      return header.value;
    }
  }
  return std::string();
}

}  // namespace filbertshift

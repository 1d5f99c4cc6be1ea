// Calls to the backing services and their translation to HTTP requests.

#ifndef SRC_BACKING_SERVICES_BACKING_SERVICE_REQUESTS_H_
#define SRC_BACKING_SERVICES_BACKING_SERVICE_REQUESTS_H_

#include <string>
#include <variant>
#include <vector>

#include "src/backing_services/backing_services.h"
#include "src/backing_services/http_transfer.h"

namespace filbertshift {

struct TransactCall {
  TableTransaction transaction;
};

struct GetRowsCall {
  // Keys that have not been looked up yet.
  std::vector<std::string> keys;
  std::vector<TableRow> rows;
  int rounds = 0;
};

struct QueryCall {
  std::string prefix;
  std::string after;
  std::size_t limit = 0;
  // Last evaluated key of the previous page.
  std::string start_key;
  std::vector<TableRow> rows;
  int pages = 0;
};

struct PutObjectCall {
  std::string name;
  std::string bytes;
};

struct GetObjectCall {
  std::string name;
};

struct RemoveObjectCall {
  std::string name;
};

struct RateCall {
  RatingQuery query;
};

struct ReadInstancesCall {};

struct BackingServiceCall {
  OperationId operation{};
  TimePoint deadline;
  std::variant<TransactCall,
               GetRowsCall,
               QueryCall,
               PutObjectCall,
               GetObjectCall,
               RemoveObjectCall,
               RateCall,
               ReadInstancesCall>
      detail;
};

// Returns the next request of a call, without its timeout. Throws
// std::invalid_argument if the call cannot be sent.
HttpRequest MakeRequest(const BackingServicesOptions& options,
                        const BackingServiceCall& call);

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_BACKING_SERVICE_REQUESTS_H_

// Export of this instance's own load.

#include "src/dispatch/endpoint_pool.h"

namespace filbertshift {

void EndpointPool::ExportLoad(LoadReport* report) const {
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.in_flight == 0) {
      continue;
    }
    ReportedEndpointLoad& load = report->endpoints[entry.hash];
    load.in_flight += entry.in_flight;
    load.running += entry.running_weight;
    load.waiting_tokens += entry.waiting_tokens;
  }
}

}  // namespace filbertshift

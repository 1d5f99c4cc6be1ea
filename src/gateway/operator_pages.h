// JSON pages for filbertshiftctl: instance, view, endpoints and rollouts, in
// the same format as filbertshiftd's admin address.

#ifndef SRC_GATEWAY_OPERATOR_PAGES_H_
#define SRC_GATEWAY_OPERATOR_PAGES_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "src/gateway/forwarder.h"
#include "src/gateway/view_source.h"

namespace filbertshift {

class OperatorPages {
 public:
  OperatorPages(InstanceId instance,
                DataCentreId data_centre,
                const FleetView& view,
                const ViewSource& source,
                const Forwarder& forwarder,
                const Transport& transport,
                std::function<bool()> is_ready);

  // Returns the JSON page, or nothing if the path is unknown.
  std::optional<std::string> Render(std::string_view target) const;

 private:
  std::string InstancePage() const;
  std::string EndpointsPage() const;
  std::string RolloutsPage() const;
  // How this instance uses the endpoint.
  std::string_view StateOf(const RoutedEndpoint& record) const;

  const InstanceId instance_;
  const DataCentreId data_centre_;
  const FleetView& view_;
  const ViewSource& source_;
  const Forwarder& forwarder_;
  const Transport& transport_;
  const std::function<bool()> is_ready_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_OPERATOR_PAGES_H_

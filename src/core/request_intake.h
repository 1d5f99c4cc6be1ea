// Turns a caller's HTTP request into a Request, or into the error that the
// caller gets. Free of effects, so that every bad input can be tested.

#ifndef SRC_CORE_REQUEST_INTAKE_H_
#define SRC_CORE_REQUEST_INTAKE_H_

#include <variant>

#include "src/config/config.h"
#include "src/core/request.h"

namespace filbertshift {

// GET /v1/models.
struct ModelListing {
  // JSON body with the models that the client account may use.
  std::string body;
};

// GET /v1/jobs/<id>.
struct JobQuery {
  AccountId account;
  JobId job;
};

// A chat request with "Prefer: respond-async".
struct JobSubmission {
  JobRequest request;
  Request checked;
};

using Intake =
    std::variant<CallerError, ModelListing, JobQuery, JobSubmission, Request>;

// `id` becomes the id of an accepted request or job.
Intake ReadCallerRequest(const CallerRequest& call,
                         const Configuration& configuration,
                         const RequestId& id);

// Reads the stored request of a job on behalf of its client account, whose key
// was checked when the job was accepted.
Intake ReadJobRequest(const JobRequest& job,
                      const Configuration& configuration,
                      const RequestId& id,
                      TimePoint now);

// The version for a request that names none: the candidate of a running rollout
// for the share `exposure` of `selector` values in [0, 1), else the stable one,
// else the first allowed version. Empty if none is allowed.
VersionId SelectVersion(const Configuration& configuration,
                        const ClientAccount& account,
                        const ModelId& model,
                        double selector,
                        const std::set<VersionId>& stopped);

}  // namespace filbertshift

#endif  // SRC_CORE_REQUEST_INTAKE_H_

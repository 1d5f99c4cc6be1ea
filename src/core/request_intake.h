// Parses a caller's HTTP request into a Request or the error response for the
// caller. Has no side effects, so that every invalid input can be tested.

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
  Request validated;
};

using IntakeResult =
    std::variant<CallerError, ModelListing, JobQuery, JobSubmission, Request>;

// `id` becomes the id of an accepted request or job.
IntakeResult ParseCallerRequest(const CallerRequest& call,
                                const Configuration& configuration,
                                const RequestId& id);

// Parses the stored request of a job. The API key of its client account was
// verified when the job was accepted and is not needed again.
IntakeResult ParseJobRequest(const JobRequest& job,
                             const Configuration& configuration,
                             const RequestId& id,
                             TimePoint now);

// Selects the version for a request that does not specify one: the candidate of
// a running rollout if `selector`, a value in [0, 1), is below the exposure of
// the rollout; otherwise the stable version; otherwise the first allowed
// version. Empty if none is allowed.
VersionId SelectVersion(const Configuration& configuration,
                        const ClientAccount& account,
                        const ModelId& model,
                        double selector,
                        const std::set<VersionId>& stopped);

}  // namespace filbertshift

#endif  // SRC_CORE_REQUEST_INTAKE_H_

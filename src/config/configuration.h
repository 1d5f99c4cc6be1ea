// The typed configuration as the decision code uses it.

#ifndef SRC_CONFIG_CONFIGURATION_H_
#define SRC_CONFIG_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// Concurrency limits of one endpoint, over all entry instances together.
struct EndpointLimits {
  int max_concurrency = 1;
  // Maximum concurrency right after the endpoint starts.
  int cold_start_concurrency = 1;
  // Time from start until max_concurrency is allowed.
  std::chrono::milliseconds warm_up{0};
};

struct ModelVersion {
  VersionId version;
  // A withdrawn version receives no new work.
  bool withdrawn = false;
  // Version that takes over the sessions of this one when it is withdrawn; may
  // be empty.
  VersionId successor;
  EndpointLimits limits;
};

struct Model {
  ModelId model;
  // Price of 1,000 generated tokens, in any unit that all models share.
  double cost_per_1000_tokens = 0;
  std::vector<ModelVersion> versions;
};

// Matches calls to a plain service by method and path.
struct ServiceRoute {
  // Empty matches every method.
  std::string method;
  std::string path_prefix;
  // False: the call runs at most once and requires an idempotency key.
  bool repeatable = false;
};

struct Service {
  ServiceId service;
  EndpointLimits limits;
  // The first matching route applies. Calls that match none are not repeatable.
  std::vector<ServiceRoute> routes;
};

struct QualityClass {
  std::string name;
  // Lower numbers are dequeued first, so that lookups never wait behind drafts.
  int priority = 0;
  // Time from receipt to the end of the answer, unless the caller sets one.
  std::chrono::milliseconds deadline{0};
  // Maximum number of queued requests of the class at one instance.
  int queue_limit = 0;
  // Models in escalation order, cheapest first; a request that names no model
  // starts at the first one.
  std::vector<ModelId> cascade;
  // Minimum rating, from 0 to 1, of a delivered answer; 0 disables rating.
  double quality_target = 0;
  // The model used while the rating service is down; may be empty.
  ModelId fallback_model;
};

struct AllowedModel {
  ModelId model;
  // Empty allows every version.
  std::vector<VersionId> versions;
};

struct ClientAccount {
  AccountId account;
  // Lower-case hexadecimal SHA-256 of each valid API key.
  std::vector<std::string> api_key_hashes;
  std::vector<AllowedModel> models;
  std::vector<ServiceId> services;
  std::string default_class;
  // Relative share of capacity when requests have to wait.
  double weight = 1;
  // Maximum number of requests in progress at one instance.
  int max_in_flight = 0;
};

struct DataCentre {
  DataCentreId data_centre;
  std::string region;
  // Set by operators: endpoints of a drained data centre receive no new work.
  bool drained = false;
  // Seat numbers of the entry instances placed there.
  std::vector<int> seats;
};

enum class RolloutState { kRunning, kPaused, kStopped };

struct Rollout {
  ModelId model;
  VersionId stable;
  VersionId candidate;
  // Share, from 0 to 1, of new sessions and of requests without a session that
  // the candidate receives.
  double exposure = 0;
  RolloutState state = RolloutState::kPaused;
  // Incremented by operators to retry a stopped candidate.
  int generation = 1;
};

// Sections of the document. Each has its own owner and its own revision.
enum class Section { kModels, kClientAccounts, kDataCentres, kRollouts };

// All sections, in enumeration order.
const std::vector<Section>& ConfigurationSections();
// "models", "client_accounts", "data_centres", "rollouts".
std::string_view SectionName(Section section);
// Throws std::invalid_argument for an unknown name.
Section ParseSectionName(std::string_view name);

struct Configuration {
  std::vector<Model> models;
  std::vector<Service> services;
  std::vector<QualityClass> classes;
  std::vector<ClientAccount> accounts;
  std::vector<DataCentre> data_centres;
  std::vector<Rollout> rollouts;
  // Number of seats among which the limit of one endpoint is divided.
  int seats_per_endpoint = 4;

  // These return nullptr if there is no match. The pointers are valid until the
  // configuration changes.
  const Model* FindModel(const ModelId& model) const;
  const ModelVersion* FindVersion(const ModelId& model,
                                  const VersionId& version) const;
  const Service* FindService(const ServiceId& service) const;
  const QualityClass* FindClass(const std::string& name) const;
  const ClientAccount* FindAccount(const AccountId& account) const;
  const ClientAccount* FindAccountByKeyHash(const std::string& hash) const;
  const DataCentre* FindDataCentre(const DataCentreId& data_centre) const;
  const Rollout* FindRollout(const ModelId& model) const;

  // All seat numbers in ascending order.
  std::vector<int> Seats() const;

  // True if the account may use the version and the version is not withdrawn.
  bool IsAllowed(const ClientAccount& account,
                 const ModelId& model,
                 const VersionId& version) const;
};

}  // namespace filbertshift

#endif  // SRC_CONFIG_CONFIGURATION_H_

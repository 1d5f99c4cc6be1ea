#include "src/config/document_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace filbertshift {

namespace {

// Skips empty values: a value that could not be read is left empty and has been
// reported already.
class SemanticChecker {
 public:
  explicit SemanticChecker(const Configuration& configuration)
      : configuration_(configuration) {}

  std::vector<SemanticError> Run() {
    CheckModels();
    CheckServices();
    CheckClasses();
    CheckAccounts();
    CheckDataCentres();
    CheckRollouts();
    return std::move(errors_);
  }

 private:
  // Maps each value to the path of its first declaration.
  using DeclaredPaths = std::map<std::string, std::string>;

  void Report(Section section, std::string path, std::string message) {
    errors_.push_back(
        {section, std::move(path), std::move(message), std::nullopt, true});
  }

  void ReportMissing(Section section,
                     std::string path,
                     std::string message,
                     Section missing_from) {
    errors_.push_back(
        {section, std::move(path), std::move(message), missing_from, true});
  }

  void CheckUnique(Section section,
                   std::string_view kind,
                   const std::string& value,
                   const std::string& path,
                   DeclaredPaths* declared) {
    if (value.empty()) {
      return;
    }
    auto [first, inserted] = declared->emplace(value, path);
    if (!inserted) {
      Report(section, path,
             fmt::format("duplicate {} \"{}\", first at {}", kind, value,
                         first->second));
    }
  }

  void CheckModelReference(Section section,
                           const ModelId& model,
                           const std::string& path) {
    if (!model.empty() && configuration_.FindModel(model) == nullptr) {
      ReportMissing(section, path,
                    fmt::format("no model \"{}\"", model.value()),
                    Section::kModels);
    }
  }

  void CheckVersionReference(Section section,
                             const ModelId& model,
                             const VersionId& version,
                             const std::string& path) {
    if (!version.empty() && configuration_.FindModel(model) != nullptr &&
        configuration_.FindVersion(model, version) == nullptr) {
      ReportMissing(section, path,
                    fmt::format("model \"{}\" has no version \"{}\"",
                                model.value(), version.value()),
                    Section::kModels);
    }
  }

  void CheckLimits(const EndpointLimits& limits, const std::string& path) {
    if (limits.cold_start_concurrency > limits.max_concurrency) {
      Report(Section::kModels, path + "/cold_start_concurrency",
             fmt::format("greater than max_concurrency, which is {}",
                         limits.max_concurrency));
    }
  }

  void CheckModels() {
    DeclaredPaths models;
    for (std::size_t i = 0; i < configuration_.models.size(); ++i) {
      const Model& model = configuration_.models[i];
      std::string path = fmt::format("/models/{}", i);
      CheckUnique(Section::kModels, "model", model.model.value(),
                  path + "/model", &models);
      CheckVersions(model, path + "/versions");
    }
  }

  void CheckVersions(const Model& model, const std::string& list_path) {
    DeclaredPaths versions;
    std::map<VersionId, VersionId> successors;
    for (std::size_t i = 0; i < model.versions.size(); ++i) {
      const ModelVersion& version = model.versions[i];
      std::string path = fmt::format("{}/{}", list_path, i);
      CheckUnique(Section::kModels, "version", version.version.value(),
                  path + "/version", &versions);
      CheckLimits(version.limits, path + "/limits");
      successors.emplace(version.version, version.successor);
    }
    for (std::size_t i = 0; i < model.versions.size(); ++i) {
      CheckSuccessor(model.versions[i], successors,
                     fmt::format("{}/{}/successor", list_path, i));
    }
  }

  void CheckSuccessor(const ModelVersion& version,
                      const std::map<VersionId, VersionId>& successors,
                      const std::string& path) {
    if (version.successor.empty()) {
      return;
    }
    if (successors.count(version.successor) == 0) {
      ReportMissing(Section::kModels, path,
                    fmt::format("the model has no version \"{}\"",
                                version.successor.value()),
                    Section::kModels);
      return;
    }
    std::set<VersionId> seen;
    VersionId next = version.successor;
    while (!next.empty() && next != version.version &&
           seen.insert(next).second) {
      auto found = successors.find(next);
      next = found == successors.end() ? VersionId() : found->second;
    }
    if (!next.empty() && next == version.version) {
      Report(Section::kModels, path,
             fmt::format("the successors of \"{}\" lead back to it",
                         version.version.value()));
    }
  }

  void CheckServices() {
    DeclaredPaths services;
    for (std::size_t i = 0; i < configuration_.services.size(); ++i) {
      const Service& service = configuration_.services[i];
      std::string path = fmt::format("/services/{}", i);
      CheckUnique(Section::kModels, "service", service.service.value(),
                  path + "/service", &services);
      CheckLimits(service.limits, path + "/limits");
    }
  }

  void CheckClasses() {
    DeclaredPaths classes;
    for (std::size_t i = 0; i < configuration_.classes.size(); ++i) {
      const QualityClass& quality_class = configuration_.classes[i];
      std::string path = fmt::format("/classes/{}", i);
      CheckUnique(Section::kModels, "class", quality_class.name, path + "/name",
                  &classes);
      DeclaredPaths cascade;
      for (std::size_t j = 0; j < quality_class.cascade.size(); ++j) {
        std::string step = fmt::format("{}/cascade/{}", path, j);
        const ModelId& model = quality_class.cascade[j];
        CheckUnique(Section::kModels, "model", model.value(), step, &cascade);
        CheckModelReference(Section::kModels, model, step);
      }
      CheckModelReference(Section::kModels, quality_class.fallback_model,
                          path + "/fallback_model");
    }
  }

  void CheckAccounts() {
    DeclaredPaths accounts;
    DeclaredPaths keys;
    for (std::size_t i = 0; i < configuration_.accounts.size(); ++i) {
      const ClientAccount& account = configuration_.accounts[i];
      std::string path = fmt::format("/{}", i);
      CheckUnique(Section::kClientAccounts, "account", account.account.value(),
                  path + "/account", &accounts);
      for (std::size_t j = 0; j < account.api_key_hashes.size(); ++j) {
        CheckUnique(Section::kClientAccounts, "API key hash",
                    account.api_key_hashes[j],
                    fmt::format("{}/api_key_hashes/{}", path, j), &keys);
      }
      CheckAllowedModels(account, path);
      CheckAllowedServices(account, path);
      CheckDefaultClass(account, path);
    }
  }

  void CheckAllowedModels(const ClientAccount& account,
                          const std::string& path) {
    DeclaredPaths models;
    for (std::size_t i = 0; i < account.models.size(); ++i) {
      const AllowedModel& allowed = account.models[i];
      std::string allowed_path = fmt::format("{}/models/{}", path, i);
      CheckUnique(Section::kClientAccounts, "model", allowed.model.value(),
                  allowed_path + "/model", &models);
      CheckModelReference(Section::kClientAccounts, allowed.model,
                          allowed_path + "/model");
      for (std::size_t j = 0; j < allowed.versions.size(); ++j) {
        CheckVersionReference(Section::kClientAccounts, allowed.model,
                              allowed.versions[j],
                              fmt::format("{}/versions/{}", allowed_path, j));
      }
    }
  }

  void CheckAllowedServices(const ClientAccount& account,
                            const std::string& path) {
    for (std::size_t i = 0; i < account.services.size(); ++i) {
      const ServiceId& service = account.services[i];
      if (!service.empty() && configuration_.FindService(service) == nullptr) {
        ReportMissing(Section::kClientAccounts,
                      fmt::format("{}/services/{}", path, i),
                      fmt::format("no service \"{}\"", service.value()),
                      Section::kModels);
      }
    }
  }

  void CheckDefaultClass(const ClientAccount& account,
                         const std::string& path) {
    const std::string& name = account.default_class;
    if (!name.empty() && configuration_.FindClass(name) == nullptr) {
      ReportMissing(Section::kClientAccounts, path + "/default_class",
                    fmt::format("no class \"{}\"", name), Section::kModels);
    }
  }

  void CheckDataCentres() {
    DeclaredPaths data_centres;
    DeclaredPaths seats;
    for (std::size_t i = 0; i < configuration_.data_centres.size(); ++i) {
      const DataCentre& data_centre = configuration_.data_centres[i];
      std::string path = fmt::format("/{}", i);
      CheckUnique(Section::kDataCentres, "data centre",
                  data_centre.data_centre.value(), path + "/data_centre",
                  &data_centres);
      for (std::size_t j = 0; j < data_centre.seats.size(); ++j) {
        if (data_centre.seats[j] < 0) {
          continue;
        }
        CheckUnique(Section::kDataCentres, "seat",
                    std::to_string(data_centre.seats[j]),
                    fmt::format("{}/seats/{}", path, j), &seats);
      }
    }
  }

  void CheckRollouts() {
    DeclaredPaths models;
    for (std::size_t i = 0; i < configuration_.rollouts.size(); ++i) {
      const Rollout& rollout = configuration_.rollouts[i];
      std::string path = fmt::format("/{}", i);
      CheckUnique(Section::kRollouts, "rollout of model", rollout.model.value(),
                  path + "/model", &models);
      CheckModelReference(Section::kRollouts, rollout.model, path + "/model");
      CheckVersionReference(Section::kRollouts, rollout.model, rollout.stable,
                            path + "/stable");
      CheckVersionReference(Section::kRollouts, rollout.model,
                            rollout.candidate, path + "/candidate");
      CheckCandidate(rollout, path + "/candidate");
    }
  }

  void CheckCandidate(const Rollout& rollout, const std::string& path) {
    if (!rollout.candidate.empty() && rollout.candidate == rollout.stable) {
      Report(Section::kRollouts, path,
             "the candidate is the stable version itself");
    }
    const ModelVersion* candidate =
        configuration_.FindVersion(rollout.model, rollout.candidate);
    if (candidate != nullptr && candidate->withdrawn &&
        rollout.state != RolloutState::kStopped) {
      // Not blocking: withdrawing a version must take effect even while its
      // rollout is running, and a withdrawn version receives no work anyway.
      errors_.push_back({Section::kRollouts, path,
                         fmt::format("version \"{}\" is withdrawn; only a "
                                     "stopped rollout may name it",
                                     rollout.candidate.value()),
                         std::nullopt, false});
    }
  }

  const Configuration& configuration_;
  std::vector<SemanticError> errors_;
};

}  // namespace

std::vector<SemanticError> CheckSemantics(const Configuration& configuration) {
  return SemanticChecker(configuration).Run();
}

}  // namespace filbertshift

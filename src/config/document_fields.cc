#include "src/config/document_fields.h"

#include "src/config/text_rules.h"

namespace filbertshift {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr Presence kOptional = Presence::kOptional;
constexpr Presence kRequired = Presence::kRequired;

// Upper bounds that only catch typing errors: the target size is 2,300
// endpoints and 340 instances.
constexpr int kMaxConcurrency = 100000;
constexpr int kMaxSeat = 9999;
constexpr int kMaxRequests = 1000000;

const FieldTable<EndpointLimits>& EndpointLimitsFields() {
  using L = EndpointLimits;
  static const FieldTable<L> kFields = {
      IntegerField("max_concurrency", &L::max_concurrency, kRequired,
                   ValueRange<int>{1, kMaxConcurrency}, "requests",
                   "Maximum concurrent requests on one endpoint, over all "
                   "entry instances together."),
      IntegerField("cold_start_concurrency", &L::cold_start_concurrency,
                   kRequired, ValueRange<int>{1, kMaxConcurrency}, "requests",
                   "The same bound right after a start of the endpoint; at "
                   "most max_concurrency."),
      DurationField("warm_up", &L::warm_up, kRequired,
                    {milliseconds(0), hours(24)},
                    "Time from the start of an endpoint until max_concurrency "
                    "is allowed."),
  };
  return kFields;
}

const FieldTable<ModelVersion>& ModelVersionFields() {
  using V = ModelVersion;
  static const FieldTable<V> kFields = {
      TextField("version", &V::version, kRequired, kIdText,
                "Name of the version, unique within the model."),
      BooleanField("withdrawn", &V::withdrawn, kOptional,
                   "A withdrawn version gets no new work."),
      TextField("successor", &V::successor, kOptional, kOptionalIdText,
                "Version of the same model that takes over the sessions of "
                "this one when it is withdrawn."),
      ObjectField("limits", &V::limits, kRequired, EndpointLimitsFields(),
                  "Concurrency limits of one endpoint of this version."),
  };
  return kFields;
}

const FieldTable<Model>& ModelFields() {
  using M = Model;
  static const FieldTable<M> kFields = {
      TextField("model", &M::model, kRequired, kIdText,
                "Name of the model, as callers give it."),
      NumberField("cost_per_1000_tokens", &M::cost_per_1000_tokens, kRequired,
                  {0, 1000000}, "free choice, the same for all models",
                  "Price of 1,000 generated tokens."),
      ObjectListField("versions", &M::versions, kRequired, ModelVersionFields(),
                      "Versions of the model."),
  };
  return kFields;
}

const FieldTable<ServiceRoute>& ServiceRouteFields() {
  using R = ServiceRoute;
  static const FieldTable<R> kFields = {
      TextField("method", &R::method, kOptional, kMethodText,
                "Method of the call; empty matches every method."),
      TextField("path_prefix", &R::path_prefix, kRequired, kPathPrefixText,
                "Start of the path after /services/NAME."),
      BooleanField("repeatable", &R::repeatable, kOptional,
                   "False: the call runs at most once and needs an "
                   "Idempotency-Key header."),
  };
  return kFields;
}

const FieldTable<Service>& ServiceFields() {
  using S = Service;
  static const FieldTable<S> kFields = {
      TextField("service", &S::service, kRequired, kIdText,
                "Name of the plain service; callers use /services/NAME/."),
      ObjectField("limits", &S::limits, kRequired, EndpointLimitsFields(),
                  "Concurrency limits of one endpoint of this service."),
      ObjectListField("routes", &S::routes, kOptional, ServiceRouteFields(),
                      "Kinds of call; the first match decides. A call that "
                      "matches none is not repeatable."),
  };
  return kFields;
}

const FieldTable<QualityClass>& QualityClassFields() {
  using C = QualityClass;
  static const FieldTable<C> kFields = {
      TextField("name", &C::name, kRequired, kIdText,
                "Name of the class, as in the X-Quality-Class header."),
      IntegerField("priority", &C::priority, kRequired, ValueRange<int>{0, 100},
                   "", "Waiting requests with lower numbers go first."),
      DurationField("deadline", &C::deadline, kRequired,
                    {milliseconds(1), hours(24)},
                    "Time from receipt to the end of the answer, unless the "
                    "caller gives one."),
      IntegerField("queue_limit", &C::queue_limit, kRequired,
                   ValueRange<int>{0, kMaxRequests}, "requests",
                   "Requests of the class that may wait at one instance."),
      TextListField("cascade", &C::cascade, kOptional, kIdText,
                    "Models from cheap to good; a request that names no model "
                    "starts at the first one."),
      NumberField("quality_target", &C::quality_target, kOptional, {0, 1},
                  "rating",
                  "Minimum rating of a delivered answer; 0 disables rating."),
      TextField("fallback_model", &C::fallback_model, kOptional,
                kOptionalIdText,
                "Model that is used while the rating service is down."),
  };
  return kFields;
}

const FieldTable<AllowedModel>& AllowedModelFields() {
  using A = AllowedModel;
  static const FieldTable<A> kFields = {
      TextField("model", &A::model, kRequired, kIdText,
                "A model that the account may use."),
      TextListField("versions", &A::versions, kOptional, kIdText,
                    "Versions that the account may use; empty allows all."),
  };
  return kFields;
}

}  // namespace

const FieldTable<Configuration>& ModelsSectionFields() {
  using C = Configuration;
  static const FieldTable<C> kFields = {
      ObjectListField("models", &C::models, kOptional, ModelFields(),
                      "Models and their versions."),
      ObjectListField("services", &C::services, kOptional, ServiceFields(),
                      "Plain services."),
      ObjectListField("classes", &C::classes, kOptional, QualityClassFields(),
                      "Quality classes of requests."),
      IntegerField("seats_per_endpoint", &C::seats_per_endpoint, kOptional,
                   ValueRange<int>{1, kMaxSeat}, "seats",
                   "Entry seats among which the limit of one endpoint is "
                   "split."),
  };
  return kFields;
}

const FieldTable<ClientAccount>& ClientAccountFields() {
  using A = ClientAccount;
  static const FieldTable<A> kFields = {
      TextField("account", &A::account, kRequired, kIdText,
                "Name of the client account."),
      TextListField("api_key_hashes", &A::api_key_hashes, kRequired,
                    kSha256Text,
                    "SHA-256 of each valid API key. A key belongs to one "
                    "account."),
      ObjectListField("models", &A::models, kOptional, AllowedModelFields(),
                      "Models that the account may use."),
      TextListField("services", &A::services, kOptional, kIdText,
                    "Plain services that the account may use."),
      TextField("default_class", &A::default_class, kRequired, kIdText,
                "Quality class of requests that name none."),
      NumberField("weight", &A::weight, kOptional, {0.001, 1000}, "",
                  "Relative share of capacity when requests have to wait."),
      IntegerField("max_in_flight", &A::max_in_flight, kRequired,
                   ValueRange<int>{1, kMaxRequests}, "requests",
                   "Requests in progress at one instance."),
  };
  return kFields;
}

const FieldTable<DataCentre>& DataCentreFields() {
  using D = DataCentre;
  static const FieldTable<D> kFields = {
      TextField("data_centre", &D::data_centre, kRequired, kIdText,
                "Name of the data centre, as in the instance list."),
      TextField("region", &D::region, kRequired, kIdText,
                "Region of the data centre."),
      BooleanField("drained", &D::drained, kOptional,
                   "True: taken out by operators; its endpoints get no new "
                   "work."),
      IntegerListField("seats", &D::seats, kOptional, {0, kMaxSeat},
                       "Seat numbers of the entry instances there; each is "
                       "used once in all data centres."),
  };
  return kFields;
}

const FieldTable<Rollout>& RolloutFields() {
  using R = Rollout;
  static const FieldTable<R> kFields = {
      TextField("model", &R::model, kRequired, kIdText,
                "The model; at most one rollout each."),
      TextField("stable", &R::stable, kRequired, kIdText,
                "Version that the candidate is compared with."),
      TextField("candidate", &R::candidate, kRequired, kIdText,
                "Version that is rolled out."),
      NumberField("exposure", &R::exposure, kRequired, {0, 1}, "share",
                  "Share of new sessions and of requests without session that "
                  "go to the candidate."),
      EnumField("state", &R::state, kRequired,
                std::vector<EnumValue<RolloutState>>{
                    {"running", RolloutState::kRunning},
                    {"paused", RolloutState::kPaused},
                    {"stopped", RolloutState::kStopped}},
                "A paused rollout keeps its exposure; a stopped one "
                "sends nothing new to the candidate."),
      IntegerField("generation", &R::generation, kOptional,
                   ValueRange<int>{1, 1'000'000}, "",
                   "Raised to try a candidate again after it was stopped for "
                   "bad answers."),
  };
  return kFields;
}

}  // namespace filbertshift

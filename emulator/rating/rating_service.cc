#include "emulator/rating/rating_service.h"

namespace filbertshift::emulator {

RatingService::RatingService(const ServicePorts& ports, const Json& settings)
    : FaultyService(ports) {
  ControlReader reader(settings.dump());
  scores_.Apply(&reader);
  reader.Finish();
}

RatingService::~RatingService() {
  Stop();
}

bool RatingService::IsWrite(const HttpRequest&) const {
  return false;
}

HttpResponse RatingService::Execute(const HttpRequest& request) {
  if (request.method != "POST" || request.path != "/rate") {
    return ErrorResponse(404, "unknown path");
  }
  std::lock_guard<std::mutex> lock(mutex_);
  try {
    const RatedAnswer answer = ReadRatedAnswer(request.body);
    const double score = scores_.Score(answer);
    history_.push_back({WallMilliseconds(), answer.model, answer.version,
                        answer.quality_class, score});
    return JsonResponse(200, Json{{"score", score}});
  } catch (const ControlError& error) {
    return ErrorResponse(400, error.what());
  }
}

std::function<void()> RatingService::ReadControl(ControlReader* control) {
  std::lock_guard<std::mutex> lock(mutex_);
  ScoreTable changed = scores_;
  changed.Apply(control);
  return [this, changed] {
    std::lock_guard<std::mutex> apply_lock(mutex_);
    scores_ = changed;
  };
}

HttpResponse RatingService::Inspect(const HttpRequest& request) {
  if (request.path != "/_history") {
    return ErrorResponse(404, "unknown path");
  }
  std::lock_guard<std::mutex> lock(mutex_);
  Json ratings = Json::array();
  for (const Rating& rating : history_) {
    ratings.push_back({{"time_ms", rating.time_ms},
                       {"model", rating.model},
                       {"version", rating.version},
                       {"quality_class", rating.quality_class},
                       {"score", rating.score}});
  }
  return JsonResponse(200, ratings);
}

}  // namespace filbertshift::emulator

// Emulates the service that rates answers.

#ifndef EMULATOR_RATING_RATING_SERVICE_H_
#define EMULATOR_RATING_RATING_SERVICE_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "emulator/http/http.h"
#include "emulator/rating/score_table.h"

namespace filbertshift::emulator {

// POST /rate with {model, version, quality_class, prompt, answer} returns
// {"score": 0..1}. Control: the keys of ScoreTable and of FaultInjector.
// Inspection: /_history.
class RatingService : public FaultyService {
 public:
  // `settings` is a JSON object with the keys of ScoreTable. Throws
  // ControlError.
  RatingService(const ServicePorts& ports, const Json& settings);
  ~RatingService() override;

 protected:
  HttpResponse Execute(const HttpRequest& request) override;
  bool IsWrite(const HttpRequest& request) const override;
  std::function<void()> ReadControl(ControlReader* control) override;
  HttpResponse Inspect(const HttpRequest& request) override;

 private:
  struct Rating {
    std::int64_t time_ms = 0;
    std::string model;
    std::string version;
    std::string quality_class;
    double score = 0;
  };

  std::mutex mutex_;
  ScoreTable scores_;
  std::deque<Rating> history_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_RATING_RATING_SERVICE_H_

// Contention in a soak: a plain service whose endpoints have few slots, bursts
// of requests to it, and callers and endpoints that read slowly.

#ifndef TESTS_SOAK_SOAK_CONTENTION_H_
#define TESTS_SOAK_SOAK_CONTENTION_H_

#include <memory>
#include <string>
#include <vector>

#include "src/net/net.h"
#include "tests/soak/plain_endpoint.h"
#include "tests/soak/slow_peers.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_record.h"
#include "tests/unit/gateway/stand_ins.h"

namespace filbertshift {

// Chosen by the seed, so that each seed always plays the same.
struct SoakVariant {
  explicit SoakVariant(unsigned seed)
      : uses_load(seed % 2 == 0), uneven(seed % 3 == 0) {}
  // The settings endpoint_load_interval, admission and placement are on.
  bool uses_load;
  // Instances and endpoints are in two data centres, and the second has fewer.
  bool uneven;

  // Fields to add to an instance's settings.
  std::string Settings() const;
  // Data centre of the instance or endpoint with this number.
  std::string DataCentreOf(std::size_t number) const {
    return uneven && number % 3 == 2 ? "b" : "a";
  }
};

class SoakContention {
 public:
  // `new_address` returns an address to listen on.
  SoakContention(TcpLoop* loop,
                 SoakRecord* record,
                 StandInStore* store,
                 unsigned seed,
                 std::string (*new_address)());
  ~SoakContention();

  // Routes and services to add to the configuration, each with a leading comma.
  static std::string Routes();
  static std::string Services();
  void Start(const std::vector<std::string>& instances, unsigned seed);
  void Stop();
  // Describes what was played.
  std::string Summary() const;

 private:
  class Upload;

  void Burst();
  void ReadSlowly();
  void BeginStreams();
  void BeginUploads();

  TcpLoop* const loop_;
  SoakRecord* const record_;
  std::vector<std::unique_ptr<PlainEndpoint>> plain_endpoints_;
  std::vector<std::unique_ptr<SoakCaller>> plain_callers_;
  FlowEndpoint flow_;
  SlowEndpoint slow_endpoint_;
  std::vector<std::string> instances_;
  // A stream for each, which is begun again after it has ended.
  std::vector<SlowCaller> slow_callers_;
  std::vector<std::unique_ptr<Upload>> uploads_;
  int streams_ = 0;
  int bursts_ = 0;
  bool stopped_ = false;
};

}  // namespace filbertshift

#endif  // TESTS_SOAK_SOAK_CONTENTION_H_

// Changes between two reports of load. Most of a report is the same as the one
// before; instances send each other only what has changed noticeably.

#ifndef SRC_GATEWAY_ENDPOINT_LOAD_CHANGES_H_
#define SRC_GATEWAY_ENDPOINT_LOAD_CHANGES_H_

#include <cstddef>

#include "src/dispatch/dispatch.h"

namespace filbertshift {

enum class LoadScope {
  // The load of one instance.
  kInstance = 0,
  // A sum over several instances.
  kSum = 1,
};

// Rounds values to what decisions need, so that most of them take one to three
// bytes, and drops entries without load.
LoadReport RoundReport(const LoadReport& report);

// Share of a sum at an endpoint by which it may differ from what the receiver
// holds, where a report may take so many bytes a second: with more bytes,
// smaller changes are sent.
double ToleranceFor(std::size_t bytes_per_second);

// Entries of `current` that differ noticeably from those of `held`, and entries
// without load for those that `current` lacks. Differences in reports of single
// instances add up in a sum, so smaller ones count there. All services are
// included.
LoadReport ChangedEntries(const LoadReport& held,
                          const LoadReport& current,
                          LoadScope scope,
                          double tolerance);

// Replaces the entries of `report` by those of `changes`.
void ApplyChanges(const LoadReport& changes, LoadReport* report);

}  // namespace filbertshift

#endif  // SRC_GATEWAY_ENDPOINT_LOAD_CHANGES_H_

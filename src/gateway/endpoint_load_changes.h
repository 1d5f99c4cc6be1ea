// Changes between two reports of load. Most of a report is the same as the one
// before; instances send each other only what has changed noticeably.

#ifndef SRC_GATEWAY_ENDPOINT_LOAD_CHANGES_H_
#define SRC_GATEWAY_ENDPOINT_LOAD_CHANGES_H_

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

// Entries of `current` that differ noticeably from those of `held`, and entries
// without load for those that `current` lacks. Small differences in reports of
// single instances add up in a sum, so they count as changes there.
// All services are included.
LoadReport ChangedEntries(const LoadReport& held,
                          const LoadReport& current,
                          LoadScope scope);

// Replaces the entries of `report` by those of `changes`.
void ApplyChanges(const LoadReport& changes, LoadReport* report);

}  // namespace filbertshift

#endif  // SRC_GATEWAY_ENDPOINT_LOAD_CHANGES_H_

// Port between the ledgers and the transactional table service.

#ifndef SRC_PORTS_TABLE_PORT_H_
#define SRC_PORTS_TABLE_PORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct TableRow {
  std::string key;
  // Grows by one with each write; 0 means that there is no such row.
  std::uint64_t version = 0;
  // JSON text.
  std::string value;
};

// A write of one row under the condition that its current version is
// `expected_version`; 0 requires that the row does not exist.
struct TableWrite {
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
  bool remove = false;
  // True: only the condition is checked; the row stays as it is.
  bool check_only = false;
};

// All writes take effect, or none.
struct TableTransaction {
  // Idempotency token: a repetition with the same token has no second effect.
  std::string token;
  std::vector<TableWrite> writes;
};

enum class TableOutcome {
  // The transaction took effect, or the read is complete.
  kOk,
  // A condition did not hold; nothing was written.
  kConflict,
  // The service certainly did not apply the operation.
  kNotApplied,
  // The operation may or may not have taken effect.
  kUnknown,
};

struct TableReply {
  OperationId operation{};
  TableOutcome outcome = TableOutcome::kUnknown;
  // Rows of a read; rows that do not exist are left out.
  std::vector<TableRow> rows;
  // True if a query has more rows after the last one.
  bool more = false;
  std::string detail;
};

// Methods are called by the core thread and return at once. A TableReply with
// the same operation id follows within the adapter's timeout. Returns false,
// with nothing sent and no reply to follow, when the adapter's queue is full.
class TablePort {
 public:
  virtual ~TablePort() = default;
  virtual bool Submit(OperationId operation, TableTransaction transaction) = 0;
  virtual bool Get(OperationId operation, std::vector<std::string> keys) = 0;
  // Rows whose key starts with `prefix` and is greater than `after`, in key
  // order, at most `limit`.
  virtual bool Query(OperationId operation,
                     std::string prefix,
                     std::string after,
                     int limit) = 0;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_TABLE_PORT_H_

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
  // Incremented by each write; 0 means that the row does not exist.
  std::uint64_t version = 0;
  // JSON text.
  std::string value;
};

// A conditional write of one row: its current version must be
// `expected_version`, where 0 requires that the row does not exist.
struct TableWrite {
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
  bool remove = false;
  // Only checks the condition and does not change the row.
  bool check_only = false;
};

// Atomic: either all writes take effect or none.
struct TableTransaction {
  // Idempotency token: a repeated transaction with the same token has no
  // effect.
  std::string token;
  std::vector<TableWrite> writes;
};

enum class TableOutcome {
  // The transaction took effect, or the read is complete.
  kOk,
  // A condition did not hold; nothing was written.
  kConflict,
  // The operation definitely did not take effect.
  kNotApplied,
  // The operation may or may not have taken effect.
  kUnknown,
};

struct TableReply {
  OperationId operation{};
  TableOutcome outcome = TableOutcome::kUnknown;
  // Rows of a read, without rows that do not exist.
  std::vector<TableRow> rows;
  // A query has more rows after the last returned one.
  bool has_more = false;
  std::string detail;
};

// Methods are called by the core thread and do not block. They return false,
// with nothing sent, if the adapter's queue is full; otherwise a TableReply
// with the same operation id follows within the adapter's timeout.
class TablePort {
 public:
  virtual ~TablePort() = default;
  virtual bool Submit(OperationId operation, TableTransaction transaction) = 0;
  virtual bool Get(OperationId operation, std::vector<std::string> keys) = 0;
  // Reads at most `limit` rows whose key starts with `prefix` and is greater
  // than `after`, in key order.
  virtual bool Query(OperationId operation,
                     std::string prefix,
                     std::string after,
                     int limit) = 0;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_TABLE_PORT_H_

// The JSON protocol of the table service: request bodies and replies of
// TransactWriteItems, BatchGetItem and Scan.

#ifndef SRC_BACKING_SERVICES_TABLE_PROTOCOL_H_
#define SRC_BACKING_SERVICES_TABLE_PROTOCOL_H_

#include <string>
#include <vector>

#include "src/backing_services/http_result.h"
#include "src/ports/table_port.h"

namespace filbertshift {

// Bounds of the published protocol.
constexpr std::size_t kMaxTransactionWrites = 100;
constexpr std::size_t kMaxBatchGetKeys = 100;

// Each throws std::invalid_argument for input that the protocol cannot carry:
// text that is not UTF-8, no writes or too many.
std::string EncodeTransaction(const std::string& table,
                              const TableTransaction& transaction);
// Takes at most kMaxBatchGetKeys keys from the front of `keys`.
std::string EncodeBatchGet(const std::string& table,
                           const std::vector<std::string>& keys);
// `start_key` is the last evaluated key of the page before; empty for the
// first page.
std::string EncodeScan(const std::string& table,
                       const std::string& prefix,
                       const std::string& after,
                       const std::string& start_key);

// Outcome of TransactWriteItems. kUnknown for everything that does not prove
// that the transaction took effect or that it did not.
TableReply DecodeTransaction(const HttpResult& result);

// One page of a read.
struct ReadPage {
  TableOutcome outcome = TableOutcome::kUnknown;
  std::vector<TableRow> rows;
  // Keys that the service has not looked up.
  std::vector<std::string> unprocessed;
  // Empty on the last page of a scan.
  std::string last_key;
  std::string detail;
};

ReadPage DecodeBatchGet(const std::string& table, const HttpResult& result);
ReadPage DecodeScan(const HttpResult& result);

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_TABLE_PROTOCOL_H_

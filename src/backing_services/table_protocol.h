// The JSON protocol of the table service: request bodies and replies of
// TransactWriteItems, BatchGetItem and Scan.

#ifndef SRC_BACKING_SERVICES_TABLE_PROTOCOL_H_
#define SRC_BACKING_SERVICES_TABLE_PROTOCOL_H_

#include <string>
#include <vector>

#include "src/backing_services/http_result.h"
#include "src/ports/table_port.h"

namespace filbertshift {

// Limits of the published protocol.
constexpr std::size_t kMaxTransactionWrites = 100;
constexpr std::size_t kMaxBatchGetKeys = 100;

// The encoders throw std::invalid_argument for input that the protocol cannot
// represent: text that is not UTF-8, no writes or too many.
std::string EncodeTransaction(const std::string& table,
                              const TableTransaction& transaction);
// Encodes at most the first kMaxBatchGetKeys of `keys`.
std::string EncodeBatchGet(const std::string& table,
                           const std::vector<std::string>& keys);
// `start_key` is the last evaluated key of the previous page; empty for the
// first page.
std::string EncodeScan(const std::string& table,
                       const std::string& prefix,
                       const std::string& after,
                       const std::string& start_key);

// Returns the outcome of TransactWriteItems: kUnknown unless the result proves
// that the transaction was applied or that it was not.
TableReply DecodeTransaction(const HttpResult& result);

// One page of a read.
struct ReadPage {
  TableOutcome outcome = TableOutcome::kUnknown;
  std::vector<TableRow> rows;
  // Keys that the service did not look up.
  std::vector<std::string> unprocessed;
  // Empty on the last page of a scan.
  std::string last_key;
  std::string detail;
};

ReadPage DecodeBatchGet(const std::string& table, const HttpResult& result);
ReadPage DecodeScan(const HttpResult& result);

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_TABLE_PROTOCOL_H_

// Emulates the published JSON protocol of a transactional key-value table with
// an in-memory store. There is a single table; table names are ignored.

#ifndef EMULATOR_TABLE_TABLE_SERVICE_H_
#define EMULATOR_TABLE_TABLE_SERVICE_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "emulator/http/http.h"
#include "emulator/table/table_store.h"

namespace filbertshift::emulator {

// Supports GetItem, BatchGetItem, TransactGetItems, TransactWriteItems,
// Query and Scan. Inspection: /_history?after=<sequence>, /_dump?prefix=,
// /_stats.
class TableService : public FaultyService {
 public:
  explicit TableService(const ServicePorts& ports);
  ~TableService() override;

 protected:
  HttpResponse Execute(const HttpRequest& request) override;
  bool IsWrite(const HttpRequest& request) const override;
  HttpResponse UnavailableResponse() const override;
  HttpResponse ThrottledResponse() const override;
  HttpResponse Inspect(const HttpRequest& request) override;

 private:
  HttpResponse ExecuteOperation(const std::string& operation, const Json& body);
  HttpResponse GetItem(const Json& body);
  HttpResponse BatchGetItem(const Json& body);
  HttpResponse TransactGetItems(const Json& body);
  HttpResponse TransactWriteItems(const Json& body);
  HttpResponse Query(const Json& body);
  Json HistoryAfter(std::uint64_t sequence) const;
  Json DumpRows(const std::string& prefix) const;

  std::mutex mutex_;
  TableStore store_;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t failed_conditions_ = 0;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_TABLE_TABLE_SERVICE_H_

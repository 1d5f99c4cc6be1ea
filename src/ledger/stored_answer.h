// Encoding of answers in execution records and job rows.

#ifndef SRC_LEDGER_STORED_ANSWER_H_
#define SRC_LEDGER_STORED_ANSWER_H_

#include <nlohmann/json.hpp>
#include <string>

namespace filbertshift {

// An answer as it was sent to the caller.
struct StoredAnswer {
  int http_status = 0;
  std::string content_type;
  std::string body;
};

// Larger bodies are kept in the object store: a row of the table service holds
// at most 400 KB, and every reader of the row transfers all of it.
constexpr std::size_t kMaxInlineBodyBytes = std::size_t{64} * 1024;

// True if the body can be stored in a row: it is small enough, and valid UTF-8,
// because JSON text cannot represent other bytes unchanged.
bool FitsIntoRow(const std::string& body);

// Adds the answer to the value of a row. If `object` is not empty, the name of
// the object is stored in place of the body.
void AddAnswer(const StoredAnswer& answer,
               const std::string& object,
               nlohmann::json* value);

struct EncodedAnswer {
  StoredAnswer answer;
  // Name of the object that holds the body; empty if the body is in the row.
  std::string object;
};

// Throws nlohmann::json::exception if the value has no valid answer.
EncodedAnswer ReadAnswer(const nlohmann::json& value);

// Returns the JSON text for a row; invalid UTF-8 is replaced.
std::string DumpRow(const nlohmann::json& value);

}  // namespace filbertshift

#endif  // SRC_LEDGER_STORED_ANSWER_H_

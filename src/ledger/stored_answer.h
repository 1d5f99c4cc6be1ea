// The encoding of answers in execution records and job rows.

#ifndef SRC_LEDGER_STORED_ANSWER_H_
#define SRC_LEDGER_STORED_ANSWER_H_

#include <nlohmann/json.hpp>
#include <string>

namespace filbertshift {

// An answer as the caller got it.
struct StoredAnswer {
  int http_status = 0;
  std::string content_type;
  std::string body;
};

// Larger bodies are kept in the object store: a row of the table service holds
// at most 400 KB, and every reader of the row transfers all of it.
constexpr std::size_t kMaxInlineBodyBytes = std::size_t{64} * 1024;

// True if the body fits into a row. A body that is not UTF-8 does not, because
// JSON text cannot hold it unchanged.
bool FitsIntoRow(const std::string& body);

// Adds the answer to the value of a row. With a non-empty `object` the body is
// left out and the row names the object that holds it.
void AddAnswer(const StoredAnswer& answer,
               const std::string& object,
               nlohmann::json* value);

struct EncodedAnswer {
  StoredAnswer answer;
  // Name of the object with the body; empty if the body is in the row.
  std::string object;
};

// Throws nlohmann::json::exception if the value holds no answer.
EncodedAnswer ReadAnswer(const nlohmann::json& value);

// JSON text for a row; invalid UTF-8 in small fields is replaced.
std::string DumpRow(const nlohmann::json& value);

}  // namespace filbertshift

#endif  // SRC_LEDGER_STORED_ANSWER_H_

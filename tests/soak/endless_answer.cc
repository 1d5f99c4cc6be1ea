#include "tests/soak/endless_answer.h"

#include <fmt/format.h>

#include "src/http1/http1.h"

namespace filbertshift {

namespace {

constexpr std::size_t kPartBytes = std::size_t{64} * 1024;

std::string Repeat(const std::string& text) {
  std::string repeated;
  while (repeated.size() < kPartBytes) {
    repeated += text;
  }
  return repeated;
}

}  // namespace

EndlessAnswer MakeEndlessAnswer(unsigned kind,
                                const std::string& fields,
                                const std::string& body) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  switch (kind % kEndlessAnswerKinds) {
    case 0:
      return {"", Repeat("HTTP/1.1 100 Continue\r\n\r\n")};
    case 1:
      return {"HTTP/1.1 200 ", Repeat("r")};
    case 2:
      return {head, Repeat("X-Field: " + std::string(500, 'v') + "\r\n")};
    case 3:
      return {head + "X-Field: ", Repeat("v")};
    case 4:
      return {chunked + "1;", Repeat("e")};
    case 5:
      return {chunked + "1\r\na\r\n0\r\n",
              Repeat("X-Trailer: " + std::string(500, 't') + "\r\n")};
    case 6:
      return {chunked, SerializeChunk(Repeat("b"))};
    case 7:
      return {head + "\r\n", Repeat("b")};
    default:
      return {fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body.size(),
                          body),
              Repeat("b")};
  }
}

}  // namespace filbertshift

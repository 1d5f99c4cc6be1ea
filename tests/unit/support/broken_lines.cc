#include "tests/unit/support/broken_lines.h"

namespace filbertshift {

const std::vector<std::string>& BrokenStatusLines() {
  static const std::vector<std::string> kLines = {
      "HTTP/1.1 000 X",    "HTTP/1.1 000",      "HTTP/1.1 001 X",
      "HTTP/1.1 099 X",    "HTTP/1.1 20 X",     "HTTP/1.1 2 X",
      "HTTP/1.1 2000 X",   "HTTP/1.1 0200 X",   "HTTP/1.1 00200 X",
      "HTTP/1.1 2x0 X",    "HTTP/1.1 -20 X",    "HTTP/1.1 600 X",
      "HTTP/1.1 999 X",    "HTTP/1.1 200OK",    "HTTP/1.1  X",
      "HTTP/1.1 200 O\rK", "HTTP/1.1 200 \x01", "HTTP/3.1 200 X",
      "HTTP/1.1",          "XTTP/1.1 200 X"};
  return kLines;
}

const std::vector<std::string>& BrokenFieldLines() {
  static const std::vector<std::string> kLines = {"X Y: v",
                                                  " X: v",
                                                  "X : v",
                                                  "\tX: v",
                                                  "X\tY: v",
                                                  "X\t: v",
                                                  "X\x01Y: v",
                                                  "\x01X: v",
                                                  "X\x7f: v",
                                                  "X\xe9: v",
                                                  "X\rY: v",
                                                  "\rX: v",
                                                  "\r X: v",
                                                  std::string("X\0Y: v", 6),
                                                  std::string("\0X: v", 5),
                                                  ": v",
                                                  "Xv",
                                                  " continued",
                                                  "Content-Length : 4",
                                                  " Content-Length: 4",
                                                  "Transfer-Encoding : chunked",
                                                  "HTTP/1.1 200 OK",
                                                  "X: v\x01",
                                                  "X: v\rY: w"};
  return kLines;
}

}  // namespace filbertshift

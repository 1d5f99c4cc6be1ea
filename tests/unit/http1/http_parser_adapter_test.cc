// Tests of the HTTP/1.1 parser.

#include <catch2/catch.hpp>

#include "src/http1/http1.h"

namespace filbertshift {
namespace {

using Kind = HttpMessageParser::Kind;

HttpParseError ParseErrorOf(const std::string& text) {
  HttpMessageParser parser(Kind::kRequest, {1024, 100});
  parser.Feed(text);
  return parser.error();
}

// Guards against a parser that decodes the target or the body.
TEST_CASE("a request keeps its bytes", "[http1]") {
  std::string text =
      "POST /a%20b/../c?q=%41 HTTP/1.1\r\nHost: h\r\nContent-Length: "
      "4\r\n\r\n\x01\r\nxGET";
  for (std::size_t step : {std::size_t{1}, text.size()}) {
    HttpMessageParser parser(Kind::kRequest, {});
    std::size_t used = 0;
    std::string body;
    while (used < text.size() && !parser.complete()) {
      used += parser.Feed(std::string_view(text).substr(used, step));
      body += parser.TakeBody();
    }
    CHECK(parser.complete());
    CHECK(text.substr(used) == "GET");
    CHECK(parser.request().target == "/a%20b/../c?q=%41");
    CHECK(body == "\x01\r\nx");
  }
}

// Guards against request smuggling: a second request hidden in a body.
TEST_CASE("ambiguous framing is refused", "[http1]") {
  std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  for (const char* fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n", "Content-Length: +3\r\n",
        "X: a\x01z\r\n", "Host: other\r\n"}) {
    INFO(fields);
    CHECK(ParseErrorOf(start + fields + "\r\n") == HttpParseError::kMalformed);
  }
  CHECK(ParseErrorOf("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n") ==
        HttpParseError::kMalformed);
  CHECK(ParseErrorOf("GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n") ==
        HttpParseError::kMalformed);
}

TEST_CASE("sizes are bounded", "[http1]") {
  CHECK(ParseErrorOf("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') +
                     "\r\n\r\n") == HttpParseError::kHeadTooLarge);
  CHECK(ParseErrorOf("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") ==
        HttpParseError::kBodyTooLarge);
  CHECK(ParseErrorOf(
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
            std::string(101, 'x')) == HttpParseError::kBodyTooLarge);
}

// Guards against a reset that is taken for the end of a response.
TEST_CASE("an answer without length ends with its connection", "[http1]") {
  HttpMessageParser parser(Kind::kResponse, {});
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK_FALSE(parser.has_framing());
  CHECK_FALSE(parser.complete());
  parser.FeedEnd();
  CHECK(parser.complete());
  CHECK_FALSE(parser.keep_alive());
}

// Guards against a body that ends in another place than its sender meant.
TEST_CASE("ambiguous framing of an answer is refused", "[http1]") {
  for (const char* fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3, 3\r\n", "Content-Length: 3x\r\n",
        "Content-Length: +3\r\n", "Content-Length: -3\r\n",
        "Content-Length:\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: x\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"}) {
    INFO(fields);
    HttpMessageParser parser(Kind::kResponse, {});
    parser.Feed(std::string("HTTP/1.1 200 OK\r\n") + fields +
                "\r\n3\r\nabc\r\n0\r\n\r\n");
    parser.FeedEnd();
    CHECK(parser.error() == HttpParseError::kMalformed);
    CHECK_FALSE(parser.complete());
  }
}

// Parses a chunked response in pieces of `step` bytes.
struct ChunkedResponse {
  ChunkedResponse(const std::string& chunks, std::size_t step)
      : parser(Kind::kResponse, {}) {
    std::string text =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
    std::size_t used = 0;
    while (used < text.size() && !parser.complete() &&
           parser.error() == HttpParseError::kNone) {
      used += parser.Feed(std::string_view(text).substr(used, step));
      body += parser.TakeBody();
    }
    rest = text.substr(used);
  }
  HttpMessageParser parser;
  std::string body;
  std::string rest;
};

// Guards against a body that holds bytes of its chunks' lines, or lacks some of
// its own.
TEST_CASE("a body with broken chunks is refused", "[http1]") {
  for (const char* chunks :
       {"2\r\nhiXY0\r\n\r\n", "2\r\nhi\n0\r\n\r\n", "2\r\nhi\r0\r\n\r\n",
        "2\r\nhi0\r\n\r\n", "1\r\nhi\r\n0\r\n\r\n", "2\rXhi\r\n0\r\n\r\n",
        "2\nhi\r\n0\r\n\r\n", "2;a\nhi\r\n0\r\n\r\n", "2 x\r\nhi\r\n0\r\n\r\n",
        " 2\r\nhi\r\n0\r\n\r\n", "0x2\r\nhi\r\n0\r\n\r\n",
        "+2\r\nhi\r\n0\r\n\r\n", "-2\r\nhi\r\n0\r\n\r\n",
        "\r\n2\r\nhi\r\n0\r\n\r\n", ";a\r\nhi\r\n", "2\r\nhi\r\n0\rX\r\n",
        "2\r\nhi\r\n0\r\n\rX", "10000000000000000\r\nhi\r\n0\r\n\r\n"}) {
    for (std::size_t step : {std::size_t{1}, std::size_t{1000}}) {
      CAPTURE(chunks, step);
      ChunkedResponse response(chunks, step);
      response.parser.FeedEnd();
      CHECK_FALSE(response.parser.complete());
    }
  }
}

TEST_CASE("a body with sound chunks is complete", "[http1]") {
  for (const char* chunks :
       {"4\r\nbo\r\n\r\n0\r\n\r\n", "4;a=\"b\";c\r\nbo\r\n\r\n0;d\r\n\r\n",
        "004 \r\nbo\r\n\r\n000\r\nX-Sum: 1\r\n\r\n",
        "1\r\nb\r\n3\r\no\r\n\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n"}) {
    for (std::size_t step : {std::size_t{1}, std::size_t{1000}}) {
      CAPTURE(chunks, step);
      ChunkedResponse response(std::string(chunks) + "HTTP", step);
      CHECK(response.parser.complete());
      CHECK(response.body == "bo\r\n");
      CHECK(response.rest == "HTTP");
      CHECK(response.parser.keep_alive());
    }
  }
  ChunkedResponse large("1A\r\n" + std::string(26, 'x') + "\r\n0\r\n\r\n", 7);
  CHECK(large.body == std::string(26, 'x'));
}

// Guards against a limit of the head that counts lines of the body.
TEST_CASE("a long head leaves room for the lines of chunks", "[http1]") {
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: " +
                     std::string(990, 'x') +
                     "\r\n\r\n2;extension\r\nhi\r\n0\r\nX-Sum: 1\r\n\r\n";
  for (std::size_t step : {std::size_t{1}, text.size()}) {
    INFO(step);
    HttpMessageParser parser(Kind::kResponse, {1024, 100});
    for (std::size_t i = 0; i < text.size(); i += step) {
      parser.Feed(text.substr(i, step));
    }
    CHECK(parser.complete());
  }
}

TEST_CASE("a truncated response with a length is not complete", "[http1]") {
  HttpMessageParser parser(Kind::kResponse, {});
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  parser.FeedEnd();
  CHECK_FALSE(parser.complete());
}

TEST_CASE("hop-by-hop fields are removed", "[http1]") {
  HttpHeaders headers;
  headers.Add("Connection", "close, X-Own");
  headers.Add("x-own", "1");
  headers.Add("Keep-Alive", "timeout=5");
  headers.Add("Content-Length", "5");
  headers.Add("X-Other", "2");
  RemoveConnectionFields(&headers);
  REQUIRE(headers.fields().size() == 1);
  CHECK(headers.fields()[0].name == "X-Other");
}

}  // namespace
}  // namespace filbertshift

// Tests of the deterministic answers of emulated engines.

#include <catch2/catch.hpp>

#include <string>

#include "emulator/tokens/tokens.h"

namespace filbertshift::emulator {
namespace {

std::string AnswerText(const Answer& answer, std::size_t tokens) {
  std::string text;
  for (std::size_t i = 0; i < tokens; ++i) {
    text += answer.Token(i, AnswerQuality::kGood);
  }
  return text;
}

// Guards against a token function that cannot distinguish answers of different
// versions, prompts or positions.
TEST_CASE("tokens depend on version, prompt and index", "[emulator][tokens]") {
  const Answer answer(VersionLabel("m", "1"), UserPrompt("hello"));
  CHECK(AnswerText(answer, 5) ==
        AnswerText(Answer(VersionLabel("m", "1"), UserPrompt("hello")), 5));
  CHECK(AnswerText(answer, 5) !=
        AnswerText(Answer(VersionLabel("m", "2"), UserPrompt("hello")), 5));
  CHECK(AnswerText(answer, 5) !=
        AnswerText(Answer(VersionLabel("n", "1"), UserPrompt("hello")), 5));
  CHECK(AnswerText(answer, 5) !=
        AnswerText(Answer(VersionLabel("m", "1"), UserPrompt("hallo")), 5));
}

// Guards against a change of the token function, after which recorded runs
// could no longer be verified.
TEST_CASE("the first token of a known prompt is fixed", "[emulator][tokens]") {
  const Answer answer("m:v1", "user: hello\n");
  CHECK(answer.Token(0, AnswerQuality::kGood) == " w0-bc0f13");
  CHECK(answer.Token(0, AnswerQuality::kBad) == " bad0-bc0f13");
}

// Guards against continuations that repeat or skip text, including those of
// answers that were interrupted within a token.
TEST_CASE("every prefix of an answer is matched", "[emulator][tokens]") {
  const Answer answer("m:v1", "user: hello\n");
  const std::string text = AnswerText(answer, 12);
  for (std::size_t length = 0; length <= text.size(); ++length) {
    const auto match = answer.MatchPrefix(text.substr(0, length));
    REQUIRE(match);
    CHECK(AnswerText(answer, match->tokens).size() + match->partial_bytes ==
          length);
  }
  CHECK_FALSE(answer.MatchPrefix(" w0-000000"));
  CHECK_FALSE(answer.MatchPrefix(text + "x"));
}

// Guards against counting the assistant prefix as part of the prompt, which
// would give a continuation different tokens from the first attempt.
TEST_CASE("a continuation has the prompt of the first attempt",
          "[emulator][tokens]") {
  const ChatRequest first = ParseChatRequest(
      R"({"model":"m","messages":[{"role":"user","content":"hello"}]})");
  const ChatRequest second = ParseChatRequest(
      R"({"model":"m","continue_final_message":true,"messages":[
          {"role":"user","content":[{"type":"text","text":"hello"}]},
          {"role":"assistant","content":" w0"}]})");
  CHECK(first.prompt == UserPrompt("hello"));
  CHECK(second.prompt == first.prompt);
  CHECK(second.prefix == " w0");
}

// Guards against running malformed requests.
TEST_CASE("malformed chat requests are rejected", "[emulator][tokens]") {
  for (const char* body :
       {"", "{}", R"({"model":"m"})", R"({"model":"m","messages":[]})",
        R"({"model":"m","messages":[{"role":"user","content":"a"}],
            "max_tokens":0})",
        R"({"model":"m","messages":[{"role":"user","content":"a"}],
            "continue_final_message":true})"}) {
    CHECK_THROWS_AS(ParseChatRequest(body), ChatRequestError);
  }
}

}  // namespace
}  // namespace filbertshift::emulator

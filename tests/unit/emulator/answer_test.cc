// Tests of the deterministic answers of emulated engines.

#include <catch2/catch.hpp>

#include <string>

#include "emulator/tokens/tokens.h"

namespace filbertshift::emulator {
namespace {

std::string Text(const Answer& answer, std::size_t tokens) {
  std::string text;
  for (std::size_t i = 0; i < tokens; ++i) {
    text += answer.Token(i, AnswerQuality::kGood);
  }
  return text;
}

// Guards against a checker that cannot tell an answer from that of another
// version, prompt or position.
TEST_CASE("tokens depend on version, prompt and index", "[emulator][tokens]") {
  const Answer answer(VersionLabel("m", "1"), UserPrompt("hello"));
  CHECK(Text(answer, 5) ==
        Text(Answer(VersionLabel("m", "1"), UserPrompt("hello")), 5));
  CHECK(Text(answer, 5) !=
        Text(Answer(VersionLabel("m", "2"), UserPrompt("hello")), 5));
  CHECK(Text(answer, 5) !=
        Text(Answer(VersionLabel("n", "1"), UserPrompt("hello")), 5));
  CHECK(Text(answer, 5) !=
        Text(Answer(VersionLabel("m", "1"), UserPrompt("hallo")), 5));
}

// Guards against a changed token function, which would make recorded runs
// uncheckable.
TEST_CASE("the first token of a known prompt is fixed", "[emulator][tokens]") {
  const Answer answer("m:v1", "user: hello\n");
  CHECK(answer.Token(0, AnswerQuality::kGood) == " w0-bc0f13");
  CHECK(answer.Token(0, AnswerQuality::kBad) == " bad0-bc0f13");
}

// Guards against continuations that repeat or skip text, also when the
// interrupted answer ended within a token.
TEST_CASE("every prefix of an answer is matched", "[emulator][tokens]") {
  const Answer answer("m:v1", "user: hello\n");
  const std::string text = Text(answer, 12);
  for (std::size_t length = 0; length <= text.size(); ++length) {
    const auto match = answer.MatchPrefix(text.substr(0, length));
    REQUIRE(match);
    CHECK(Text(answer, match->tokens).size() + match->partial == length);
  }
  CHECK_FALSE(answer.MatchPrefix(" w0-000000"));
  CHECK_FALSE(answer.MatchPrefix(text + "x"));
}

// Guards against a prompt that includes the assistant prefix, which would give
// a continuation other tokens than the first attempt.
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

// Guards against an engine that runs a request it cannot understand.
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

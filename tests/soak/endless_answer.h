// Responses that never end, as a faulty endpoint writes them.

#ifndef TESTS_SOAK_ENDLESS_ANSWER_H_
#define TESTS_SOAK_ENDLESS_ANSWER_H_

#include <string>

namespace filbertshift {

struct EndlessAnswer {
  std::string start;
  // Sent again and again after `start`.
  std::string part;
};

constexpr unsigned kEndlessAnswerKinds = 9;

// `fields` are header lines of the response, each with its line end; `body` is
// that of a response which is followed by more bytes.
EndlessAnswer MakeEndlessAnswer(unsigned kind,
                                const std::string& fields,
                                const std::string& body);

}  // namespace filbertshift

#endif  // TESTS_SOAK_ENDLESS_ANSWER_H_

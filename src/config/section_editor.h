// Edits single values in the text of a section and preserves the rest,
// including comments.

#ifndef SRC_CONFIG_SECTION_EDITOR_H_
#define SRC_CONFIG_SECTION_EDITOR_H_

#include <string>

namespace filbertshift {

class SectionEditor {
 public:
  // Throws FindingsError if the text is not JSON with comments.
  explicit SectionEditor(std::string text);

  // Returns the JSON pointer of the first element of the array at `list` whose
  // member `key` is the string `value`; empty if there is none.
  std::string FindElement(const std::string& list,
                          const std::string& key,
                          const std::string& value) const;

  // Returns the value of a string member of the object at the pointer `object`;
  // empty if there is none.
  std::string StringMember(const std::string& object,
                           const std::string& key) const;

  // Replaces or adds a member of the object at the pointer `object`. `json` is
  // the text of the new value. Throws std::invalid_argument if the pointer does
  // not refer to an object.
  void SetMember(const std::string& object,
                 const std::string& key,
                 const std::string& json);

  // Appends to the array at the pointer `list`. Throws std::invalid_argument if
  // the pointer does not refer to an array.
  void AppendElement(const std::string& list, const std::string& json);

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace filbertshift

#endif  // SRC_CONFIG_SECTION_EDITOR_H_

// Changes single values in the text of a section and leaves the rest, with all
// comments, as it is.

#ifndef SRC_CONFIG_SECTION_EDITOR_H_
#define SRC_CONFIG_SECTION_EDITOR_H_

#include <string>

namespace filbertshift {

class SectionEditor {
 public:
  // Throws FindingsError if the text is not JSON with comments.
  explicit SectionEditor(std::string text);

  // JSON pointer of the first element of the list at `list` whose member `key`
  // is the string `value`; empty if there is none.
  std::string FindElement(const std::string& list,
                          const std::string& key,
                          const std::string& value) const;

  // The value of a string member of the object; empty if there is none.
  std::string StringMember(const std::string& object,
                           const std::string& key) const;

  // Replaces or adds a member of the object at the pointer `object`. `json` is
  // the text of the new value. Throws std::invalid_argument if there is no
  // object at that place.
  void SetMember(const std::string& object,
                 const std::string& key,
                 const std::string& json);

  // Appends to the array at the pointer `list`. Throws std::invalid_argument
  // if there is no array at that place.
  void AppendElement(const std::string& list, const std::string& json);

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace filbertshift

#endif  // SRC_CONFIG_SECTION_EDITOR_H_

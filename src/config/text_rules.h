// Validation rules for text values in settings and in the configuration
// document.

#ifndef SRC_CONFIG_TEXT_RULES_H_
#define SRC_CONFIG_TEXT_RULES_H_

#include <string_view>

#include "src/config/field_types.h"

namespace filbertshift {

namespace text_internal {

bool IsId(std::string_view text);
bool IsOptionalId(std::string_view text);
bool IsNonEmptyText(std::string_view text);
bool IsSha256(std::string_view text);
bool IsMethod(std::string_view text);
bool IsPathPrefix(std::string_view text);
bool IsListenAddress(std::string_view text);
bool IsAddress(std::string_view text);
bool IsOptionalAddress(std::string_view text);

}  // namespace text_internal

// Ids are embedded in row keys and paths, so they must not contain their
// separators.
inline constexpr TextRule kIdText = {"1 to 64 letters, digits or . _ : -",
                                     text_internal::IsId};
inline constexpr TextRule kOptionalIdText = {
    "empty, or 1 to 64 letters, digits or . _ : -",
    text_internal::IsOptionalId};
inline constexpr TextRule kNonEmptyText = {"1 to 256 bytes",
                                           text_internal::IsNonEmptyText};
inline constexpr TextRule kSha256Text = {"64 lower-case hexadecimal digits",
                                         text_internal::IsSha256};
inline constexpr TextRule kMethodText = {
    "empty, GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS",
    text_internal::IsMethod};
inline constexpr TextRule kPathPrefixText = {"1 to 256 bytes that start with /",
                                             text_internal::IsPathPrefix};
// Port 0 lets the operating system choose a free port.
inline constexpr TextRule kListenAddressText = {
    "IP number and port, port 0 to 65535", text_internal::IsListenAddress};
inline constexpr TextRule kAddressText = {"IP number and port, port 1 to 65535",
                                          text_internal::IsAddress};
inline constexpr TextRule kOptionalAddressText = {
    "empty, or IP number and port, port 1 to 65535",
    text_internal::IsOptionalAddress};

}  // namespace filbertshift

#endif  // SRC_CONFIG_TEXT_RULES_H_

#include "emulator/table/table_condition.h"

#include <algorithm>
#include <regex>
#include <vector>

namespace filbertshift::emulator {

namespace {

std::vector<std::string> SplitTerms(const std::string& expression) {
  static const std::regex kAndOperator("\\s+AND\\s+", std::regex::icase);
  return {std::sregex_token_iterator(expression.begin(), expression.end(),
                                     kAndOperator, -1),
          std::sregex_token_iterator()};
}

std::string ResolveName(const Json& operation, const std::string& name) {
  if (name.empty() || name[0] != '#') {
    return name;
  }
  try {
    return operation.at("ExpressionAttributeNames").at(name);
  } catch (const Json::exception&) {
    throw TableValidationError("undefined attribute name " + name);
  }
}

const Json& ResolveValue(const Json& operation, const std::string& name) {
  try {
    return operation.at("ExpressionAttributeValues").at(name);
  } catch (const Json::exception&) {
    throw TableValidationError("undefined attribute value " + name);
  }
}

// Three-way comparison like strcmp. Values of different types are ordered by
// type.
int CompareValues(const Json& a, const Json& b) {
  if (a.contains("N") && b.contains("N")) {
    const double difference = std::stod(a["N"].get<std::string>()) -
                              std::stod(b["N"].get<std::string>());
    return difference < 0 ? -1 : (difference > 0 ? 1 : 0);
  }
  return a < b ? -1 : (b < a ? 1 : 0);
}

bool SatisfiesComparison(const std::string& comparator, int order) {
  if (comparator == "=") {
    return order == 0;
  }
  if (comparator == "<>") {
    return order != 0;
  }
  if (comparator == "<") {
    return order < 0;
  }
  if (comparator == "<=") {
    return order <= 0;
  }
  return comparator == ">" ? order > 0 : order >= 0;
}

bool EvaluateTerm(const Json& operation,
                  const std::string& term,
                  const TableItem* item) {
  static const std::regex kExistence(
      "\\s*attribute_(not_)?exists\\s*\\(\\s*([#\\w]+)\\s*\\)\\s*");
  static const std::regex kComparison(
      "\\s*([#\\w]+)\\s*(=|<>|<=|>=|<|>)\\s*(:\\w+)\\s*");
  std::smatch match;
  if (std::regex_match(term, match, kExistence)) {
    const std::string name = ResolveName(operation, match[2]);
    const bool exists = item != nullptr && item->contains(name);
    return exists != match[1].matched;
  }
  if (std::regex_match(term, match, kComparison)) {
    const std::string name = ResolveName(operation, match[1]);
    const Json& value = ResolveValue(operation, match[3]);
    return item != nullptr && item->contains(name) &&
           SatisfiesComparison(match[2], CompareValues((*item)[name], value));
  }
  throw TableValidationError("unsupported condition: " + term);
}

std::string StringValue(const Json& value) {
  if (!value.is_object() || !value.contains("S") || !value["S"].is_string()) {
    throw TableValidationError("a key must have the type S");
  }
  return value["S"];
}

void ReadKeyTerm(const Json& request, const std::string& term, KeyRange* out) {
  static const std::regex kPrefix(
      "\\s*begins_with\\s*\\(\\s*([#\\w]+)\\s*,\\s*(:\\w+)\\s*\\)\\s*");
  static const std::regex kAfter("\\s*([#\\w]+)\\s*>\\s*(:\\w+)\\s*");
  std::smatch match;
  const bool is_prefix = std::regex_match(term, match, kPrefix);
  if (!is_prefix && !std::regex_match(term, match, kAfter)) {
    throw TableValidationError("unsupported key condition: " + term);
  }
  if (ResolveName(request, match[1]) != "pk") {
    throw TableValidationError("a key condition must name pk");
  }
  const std::string value = StringValue(ResolveValue(request, match[2]));
  if (is_prefix) {
    out->prefix = value;
  } else {
    out->after = std::max(out->after, value);
  }
}

}  // namespace

std::string ItemKey(const Json& item) {
  if (!item.is_object() || !item.contains("pk")) {
    throw TableValidationError("the key attribute pk is missing");
  }
  return StringValue(item["pk"]);
}

bool EvaluateCondition(const Json& operation, const TableItem* item) {
  const std::string expression =
      operation.value("ConditionExpression", std::string());
  if (expression.empty()) {
    return true;
  }
  bool satisfied = true;
  for (const std::string& term : SplitTerms(expression)) {
    // Evaluates every term, so that an invalid one is always reported.
    satisfied = EvaluateTerm(operation, term, item) && satisfied;
  }
  return satisfied;
}

KeyRange ReadKeyRange(const Json& request) {
  KeyRange range;
  for (const char* name : {"KeyConditionExpression", "FilterExpression"}) {
    const std::string expression = request.value(name, std::string());
    if (expression.empty()) {
      continue;
    }
    for (const std::string& term : SplitTerms(expression)) {
      ReadKeyTerm(request, term, &range);
    }
  }
  if (request.contains("ExclusiveStartKey")) {
    range.after = std::max(range.after, ItemKey(request["ExclusiveStartKey"]));
  }
  return range;
}

}  // namespace filbertshift::emulator

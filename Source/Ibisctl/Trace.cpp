#include "Ibisctl/Trace.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>

#include "Ibisctl/Command.h"
#include "Ibisctl/Output.h"

namespace Ibisctl {

namespace {

using nlohmann::json;

struct Tree
{
  /// Spans by the id of their parent; roots under "".
  std::map<std::string, std::vector<const json*>> mChildren;
  std::set<const json*> mPrinted;
  std::int64_t mStart = 0;
};

void
AppendSpan(const json& aSpan, std::size_t aDepth, Tree& aTree, std::string& aText)
{
  // A span that names itself or its descendant as parent must not be printed for ever.
  if (!aTree.mPrinted.insert(&aSpan).second) {
    return;
  }
  constexpr std::size_t kMaxIndent = 40;
  constexpr double kMicrosPerMilli = 1000.0;
  std::string taken =
    std::to_string(static_cast<double>(NumberOf(aSpan, "taken_us")) / kMicrosPerMilli);
  taken.resize(taken.find('.') + 4);
  aText += std::to_string(NumberOf(aSpan, "start_unix_ms") - aTree.mStart) + " ms  ";
  aText.append(std::min(2 * aDepth, kMaxIndent), ' ');
  aText += RenderCell("", TextOf(aSpan, "name")) + "  " + taken + " ms  " +
           RenderCell("", TextOf(aSpan, "instance"));
  if (aSpan.contains("tags") && aSpan.at("tags").is_object()) {
    for (const auto& [key, value] : aSpan.at("tags").items()) {
      aText.append("  ").append(RenderCell("", key)).append("=").append(RenderCell("", value));
    }
  }
  aText += '\n';
  for (const json* child : aTree.mChildren[TextOf(aSpan, "span")]) {
    AppendSpan(*child, aDepth + 1, aTree, aText);
  }
}

} // namespace

std::string
RenderTrace(const json& aAnswer)
{
  const json& list =
    aAnswer.is_object() && aAnswer.contains("spans") ? aAnswer.at("spans") : aAnswer;
  std::vector<const json*> spans;
  std::set<std::string> ids;
  for (const json& span : list) {
    if (span.is_object()) {
      spans.push_back(&span);
      ids.insert(TextOf(span, "span"));
    }
  }
  if (spans.empty()) {
    return "no spans\n";
  }
  std::stable_sort(spans.begin(), spans.end(), [](const json* aLeft, const json* aRight) {
    return NumberOf(*aLeft, "start_unix_ms") < NumberOf(*aRight, "start_unix_ms");
  });
  Tree tree;
  tree.mStart = NumberOf(*spans.front(), "start_unix_ms");
  for (const json* span : spans) {
    const std::string parent = TextOf(*span, "parent");
    tree.mChildren[ids.count(parent) > 0 ? parent : ""].push_back(span);
  }
  std::string text;
  for (const json* span : std::vector<const json*>(tree.mChildren[""])) {
    AppendSpan(*span, 0, tree, text);
  }
  // Spans that are left form a circle of parents.
  for (const json* span : spans) {
    AppendSpan(*span, 0, tree, text);
  }
  return text;
}

} // namespace Ibisctl

#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Problems found in input, collected with their place and reported together.
namespace Common {

enum class Severity
{
  Warning,
  Error,
};

/// A place in a text; line and column start at 1, and 0 means the whole file.
struct Place
{
  std::string mFile;
  std::uint32_t mLine = 0;
  std::uint32_t mColumn = 0;
};

struct Finding
{
  Severity mSeverity = Severity::Error;
  Place mPlace;
  std::string mMessage;
};

/// Collects findings in the order in which they are added.
class Findings
{
public:
  void error(Place aPlace, std::string aMessage);
  void warning(Place aPlace, std::string aMessage);
  void append(const Findings& aOther);

  bool hasErrors() const;
  bool empty() const { return mItems.empty(); }
  const std::vector<Finding>& items() const { return mItems; }

  /// One line for each finding: "file:line:column: message", warnings with "warning: " before the
  /// message.
  std::string text() const;

private:
  std::vector<Finding> mItems;
};

/// The name in aKnown with the smallest edit distance to aName, or "" if none is within a third of
/// the length of aName.
std::string
NearestName(const std::string& aName, const std::vector<std::string>& aKnown);

} // namespace Common

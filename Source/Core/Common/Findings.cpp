#include "Common/Findings.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Common {

namespace {

std::size_t
EditDistance(const std::string& aLeft, const std::string& aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t substitution = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ substitution, row[j] + 1, row[j + 1] + 1 });
    }
  }
  return row.back();
}

} // namespace

void
Findings::error(Place aPlace, std::string aMessage)
{
  mItems.push_back({ Severity::Error, std::move(aPlace), std::move(aMessage) });
}

void
Findings::warning(Place aPlace, std::string aMessage)
{
  mItems.push_back({ Severity::Warning, std::move(aPlace), std::move(aMessage) });
}

void
Findings::append(const Findings& aOther)
{
  mItems.insert(mItems.end(), aOther.mItems.begin(), aOther.mItems.end());
}

bool
Findings::hasErrors() const
{
  return std::any_of(mItems.begin(), mItems.end(), [](const Finding& aFinding) {
    return aFinding.mSeverity == Severity::Error;
  });
}

std::string
Findings::text() const
{
  std::string text;
  for (const Finding& finding : mItems) {
    text += finding.mPlace.mFile;
    if (finding.mPlace.mLine > 0) {
      text +=
        ':' + std::to_string(finding.mPlace.mLine) + ':' + std::to_string(finding.mPlace.mColumn);
    }
    text += finding.mSeverity == Severity::Warning ? ": warning: " : ": ";
    text += finding.mMessage + '\n';
  }
  return text;
}

std::string
NearestName(const std::string& aName, const std::vector<std::string>& aKnown)
{
  std::string nearest;
  std::size_t best = std::max<std::size_t>(2, aName.size() / 3) + 1;
  for (const std::string& known : aKnown) {
    const std::size_t distance = EditDistance(aName, known);
    if (distance < best) {
      best = distance;
      nearest = known;
    }
  }
  return nearest;
}

} // namespace Common

#include "Toml/TableReader.h"

#include <algorithm>

namespace Toml {

namespace {

std::string
KindOf(const Value& aValue)
{
  static const std::vector<std::string> kNames = { "a boolean", "an integer", "a number",
                                                   "a string",  "a date",     "an array",
                                                   "a table" };
  return kNames[aValue.mData.index()];
}

std::string
Joined(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const std::string& name : aNames) {
    text += (text.empty() ? "\"" : ", \"") + name + '"';
  }
  return text;
}

/// The known key that was most likely meant. A key that only lacks its unit ("deadline" for
/// "deadline_ms") may be far away by edit distance, so it is looked for first.
std::string
NearestKey(const std::string& aName, const std::vector<std::string>& aKnown)
{
  for (const std::string& known : aKnown) {
    if (!aName.empty() && known.starts_with(aName + '_')) {
      return known;
    }
  }
  return Common::NearestName(aName, aKnown);
}

/// A suffix that offers aNearest, or nothing.
std::string
Suggestion(const std::string& aNearest)
{
  return aNearest.empty() ? "" : "; did you mean \"" + aNearest + "\"?";
}

/// Shortens aText for a message. Cuts only before the start of a character.
std::string
Shortened(const std::string& aText)
{
  constexpr std::size_t kLongest = 60;
  if (aText.size() <= kLongest) {
    return aText;
  }
  std::size_t end = kLongest;
  while (end > 0 && (static_cast<unsigned char>(aText[end]) & 0xc0U) == 0x80U) {
    --end;
  }
  return aText.substr(0, end) + "...";
}

} // namespace

TableReader::TableReader(const Value& aTable,
                         std::string aFile,
                         std::string aWhat,
                         Common::Findings& aFindings)
  : mTable(aTable)
  , mFile(std::move(aFile))
  , mWhat(std::move(aWhat))
  , mFindings(aFindings)
{
}

const Member*
TableReader::find(const std::string& aKey) const
{
  const Table* members = std::get_if<Table>(&mTable.mData);
  if (members == nullptr) {
    return nullptr;
  }
  const auto found = std::find_if(
    members->begin(), members->end(), [&](const Member& aMember) { return aMember.mName == aKey; });
  return found == members->end() ? nullptr : &*found;
}

const Value*
TableReader::ask(const std::string& aKey)
{
  if (std::find(mKnown.begin(), mKnown.end(), aKey) == mKnown.end()) {
    mKnown.push_back(aKey);
  }
  const Member* member = find(aKey);
  return member == nullptr ? nullptr : &member->mValue;
}

bool
TableReader::has(const std::string& aKey) const
{
  return find(aKey) != nullptr;
}

Common::Place
TableReader::place() const
{
  return { mFile, mTable.mPosition.mLine, mTable.mPosition.mColumn };
}

Common::Place
TableReader::place(const std::string& aKey) const
{
  const Member* member = find(aKey);
  if (member == nullptr) {
    return place();
  }
  const Position& position = member->mValue.mPosition;
  return { mFile, position.mLine, position.mColumn };
}

void
TableReader::error(const std::string& aKey, std::string aMessage)
{
  mFindings.error(place(aKey), mWhat + ": " + std::move(aMessage));
}

void
TableReader::missing(const std::string& aKey)
{
  if (!has(aKey)) {
    error(aKey, "key \"" + aKey + "\" is missing");
  }
}

void
TableReader::refuse(const std::string& aKey, const std::string& aReason)
{
  if (ask(aKey) != nullptr) {
    error(aKey, "key \"" + aKey + "\" " + aReason);
  }
}

std::optional<std::string>
TableReader::text(const std::string& aKey)
{
  const Value* value = ask(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (const auto* text = std::get_if<std::string>(&value->mData)) {
    return *text;
  }
  error(aKey, "key \"" + aKey + "\" must be a string, not " + KindOf(*value));
  return std::nullopt;
}

std::optional<bool>
TableReader::boolean(const std::string& aKey)
{
  const Value* value = ask(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (const bool* boolean = std::get_if<bool>(&value->mData)) {
    return *boolean;
  }
  error(aKey, "key \"" + aKey + "\" must be true or false, not " + KindOf(*value));
  return std::nullopt;
}

std::optional<std::int64_t>
TableReader::integer(const std::string& aKey, IntegerRange aRange)
{
  const Value* value = ask(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto* integer = std::get_if<std::int64_t>(&value->mData);
  if (integer == nullptr) {
    error(aKey, "key \"" + aKey + "\" must be an integer, not " + KindOf(*value));
    return std::nullopt;
  }
  if (*integer < aRange.mMin || *integer > aRange.mMax) {
    error(aKey,
          "key \"" + aKey + "\" is " + std::to_string(*integer) + "; it must be from " +
            std::to_string(aRange.mMin) + " to " + std::to_string(aRange.mMax));
    return std::nullopt;
  }
  return *integer;
}

std::optional<std::vector<std::string>>
TableReader::textList(const std::string& aKey)
{
  const Value* value = ask(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto* array = std::get_if<Array>(&value->mData);
  if (array == nullptr) {
    error(aKey, "key \"" + aKey + "\" must be an array of strings, not " + KindOf(*value));
    return std::nullopt;
  }
  std::vector<std::string> texts;
  bool wrong = false;
  for (const Value& item : *array) {
    if (const auto* text = std::get_if<std::string>(&item.mData)) {
      texts.push_back(*text);
      continue;
    }
    wrong = true;
    mFindings.error({ mFile, item.mPosition.mLine, item.mPosition.mColumn },
                    mWhat + ": key \"" + aKey + "\" must have strings only, not " + KindOf(item));
  }
  return wrong ? std::nullopt : std::optional(std::move(texts));
}

std::optional<std::size_t>
TableReader::choice(const std::string& aKey, const std::vector<std::string>& aChoices)
{
  const std::optional<std::string> name = text(aKey);
  if (!name) {
    return std::nullopt;
  }
  const auto found = std::find(aChoices.begin(), aChoices.end(), *name);
  if (found != aChoices.end()) {
    return static_cast<std::size_t>(found - aChoices.begin());
  }
  error(aKey,
        "key \"" + aKey + "\" is " + Quote(Shortened(*name)) + "; it must be one of " +
          Joined(aChoices) + Suggestion(Common::NearestName(Shortened(*name), aChoices)));
  return std::nullopt;
}

const Value*
TableReader::table(const std::string& aKey)
{
  const Value* value = ask(aKey);
  if (value == nullptr || std::holds_alternative<Table>(value->mData)) {
    return value;
  }
  error(aKey, "key \"" + aKey + "\" must be a table, not " + KindOf(*value));
  return nullptr;
}

std::vector<const Value*>
TableReader::tables(const std::string& aKey)
{
  const Value* value = ask(aKey);
  if (value == nullptr) {
    return {};
  }
  const auto* array = std::get_if<Array>(&value->mData);
  if (array == nullptr) {
    error(aKey, "\"" + aKey + "\" must be an array of tables, written [[" + aKey + "]]");
    return {};
  }
  std::vector<const Value*> items;
  items.reserve(array->size());
  for (const Value& item : *array) {
    if (std::holds_alternative<Table>(item.mData)) {
      items.push_back(&item);
      continue;
    }
    mFindings.error({ mFile, item.mPosition.mLine, item.mPosition.mColumn },
                    mWhat + ": \"" + aKey + "\" must have tables only, not " + KindOf(item));
  }
  return items;
}

void
TableReader::finish()
{
  const Table* members = std::get_if<Table>(&mTable.mData);
  if (members == nullptr) {
    return;
  }
  for (const Member& member : *members) {
    if (std::find(mKnown.begin(), mKnown.end(), member.mName) != mKnown.end()) {
      continue;
    }
    const std::string name = Shortened(member.mName);
    mFindings.error({ mFile, member.mPosition.mLine, member.mPosition.mColumn },
                    mWhat + ": unknown key " + Quote(name) + Suggestion(NearestKey(name, mKnown)));
  }
}

} // namespace Toml

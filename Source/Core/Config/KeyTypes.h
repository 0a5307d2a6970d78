#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "Config/Keys.h"

/// Builders of keys by type; a key's default is read from default settings where it is a number.
namespace Config {

using Toml::IntegerRange;
using Toml::TableReader;

template<typename Type>
using Field = std::function<Type&(Settings&)>;

inline std::string
RangeText(IntegerRange aRange)
{
  return std::to_string(aRange.mMin) + " to " + std::to_string(aRange.mMax);
}

/// A duration in whole milliseconds.
inline Key
Milliseconds(std::string aSection,
             std::string aName,
             IntegerRange aRange,
             const Field<Duration>& aField)
{
  Settings defaults;
  const auto value = std::chrono::duration_cast<std::chrono::milliseconds>(aField(defaults));
  return { std::move(aSection),
           std::move(aName),
           "ms",
           std::to_string(value.count()),
           RangeText(aRange),
           [=](TableReader& aReader, const std::string& aKey, Settings& aOut) {
             if (const auto number = aReader.integer(aKey, aRange)) {
               aField(aOut) = std::chrono::milliseconds(*number);
             }
           } };
}

inline Key
Kib(std::string aSection,
    std::string aName,
    IntegerRange aRange,
    const Field<Common::Bytes>& aField)
{
  constexpr std::int64_t kBytes = 1024;
  Settings defaults;
  return { std::move(aSection),
           std::move(aName),
           "KiB",
           std::to_string(aField(defaults).value() / kBytes),
           RangeText(aRange),
           [=](TableReader& aReader, const std::string& aKey, Settings& aOut) {
             if (const auto number = aReader.integer(aKey, aRange)) {
               aField(aOut) = Common::Bytes(*number * kBytes);
             }
           } };
}

template<typename Number>
Key
Count(std::string aSection,
      std::string aName,
      std::string aUnit,
      IntegerRange aRange,
      Field<Number> aField)
{
  Settings defaults;
  return { std::move(aSection),
           std::move(aName),
           std::move(aUnit),
           std::to_string(aField(defaults)),
           RangeText(aRange),
           [=](TableReader& aReader, const std::string& aKey, Settings& aOut) {
             if (const auto number = aReader.integer(aKey, aRange)) {
               aField(aOut) = static_cast<Number>(*number);
             }
           } };
}

/// A text that aValid accepts; aRange says which texts these are.
template<typename Text>
Key
TextKey(std::string aSection,
        std::string aName,
        const std::string& aRange,
        std::string aDefault,
        bool (*aValid)(const std::string&),
        Field<Text> aField)
{
  const auto read = [=](TableReader& aReader, const std::string& aKey, Settings& aOut) {
    const auto text = aReader.text(aKey);
    if (text && aValid(*text)) {
      aField(aOut) = Text(*text);
    } else if (text) {
      aReader.error(aKey, "key \"" + aKey + "\" must be " + aRange);
    }
  };
  return { std::move(aSection), std::move(aName), "", std::move(aDefault), aRange, read };
}

/// A list of at least aMinItems texts that aValid accepts.
inline Key
TextList(std::string aSection,
         std::string aName,
         const std::string& aRange,
         std::string aDefault,
         std::size_t aMinItems,
         bool (*aValid)(const std::string&),
         const Field<std::vector<std::string>>& aField)
{
  const auto read = [=](TableReader& aReader, const std::string& aKey, Settings& aOut) {
    const auto list = aReader.textList(aKey);
    if (!list) {
      return;
    }
    const std::string key = '"' + aKey + '"';
    if (list->size() < aMinItems) {
      aReader.error(aKey, "key " + key + " must have at least one item");
    }
    if (!std::all_of(list->begin(), list->end(), aValid)) {
      aReader.error(aKey, "each item of " + key + " must be " + aRange);
      return;
    }
    aField(aOut) = *list;
  };
  return { std::move(aSection), std::move(aName), "", std::move(aDefault), "each " + aRange, read };
}

template<typename Enum>
Key
Choice(std::string aSection,
       std::string aName,
       const std::vector<std::string>& aChoices,
       std::string aDefault,
       Field<Enum> aField)
{
  std::string range;
  for (const std::string& choice : aChoices) {
    range += (range.empty() ? "" : ", ");
    range += choice;
  }
  const auto read = [=](TableReader& aReader, const std::string& aKey, Settings& aOut) {
    if (const auto index = aReader.choice(aKey, aChoices)) {
      aField(aOut) = static_cast<Enum>(*index);
    }
  };
  return { std::move(aSection), std::move(aName), "", std::move(aDefault), range, read };
}

} // namespace Config
